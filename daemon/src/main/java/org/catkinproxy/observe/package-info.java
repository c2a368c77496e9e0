/**
 * What the daemon tells about itself: numbered log events, metrics and service-level figures.
 *
 * <p>No prompt text and no secret ever enters an event or a label. May use {@code id}, {@code
 * error} and {@code config} of the core only.
 */
package org.catkinproxy.observe;
