/**
 * State machine of an attempt at a call that must run at most once, and the records kept of a call.
 *
 * <p>A call is a request to a service that is identified by an idempotency key. Several attempts,
 * on several entry instances, may be made at one call; the call's row in the call table decides
 * which of them may send the request. The state machine maps events to actions and performs no I/O,
 * reads no clock and starts no threads.
 *
 * <p>Must not depend on other packages of this project than {@code id} and {@code error}.
 */
package org.catkinproxy.call;
