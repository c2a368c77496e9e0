package org.catkinproxy.admin;

/**
 * The response to an applied sheet that was accepted.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the revision of the accepted configuration
 */
public record SheetAcceptedResponse(long revision) {}
