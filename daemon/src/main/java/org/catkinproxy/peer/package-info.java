/**
 * The protocol between daemons: Thrift over TCP or mutual TLS, its client and its server.
 *
 * <p>The protocol is {@code src/main/thrift/peer.thrift}; {@code peer.gen} holds the code generated
 * from it, by the command that its package page names. Frames are bounded, every read has a
 * time-out, and all calls may be repeated. May use the core, {@code configuration}, {@code
 * membership}, {@code settings} and {@code observe}.
 */
package org.catkinproxy.peer;
