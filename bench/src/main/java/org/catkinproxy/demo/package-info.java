/**
 * The demo: stand-ins and daemons as separate processes on loopback, and a caller that uses them.
 *
 * <p>The processes ({@link org.catkinproxy.demo.Cluster}) and the caller ({@link
 * org.catkinproxy.demo.Caller}) also serve the load tool and the failure runs.
 */
package org.catkinproxy.demo;
