/**
 * The client interface for plain services, and its HTTP implementation.
 *
 * <p>A client sends each request exactly once, and distinguishes a connection that was never
 * established from all other failures. Whether to retry is up to the user of the client. May use
 * {@code id}, {@code error} and {@code call} of the core.
 */
package org.catkinproxy.service;
