/**
 * What a real daemon process costs that serves no callers, by engines and by peers.
 *
 * <p>The engines are stand-ins inside the measuring program, so that only the daemon's own process
 * is counted.
 */
package org.catkinproxy.bench.control;
