package org.catkinproxy.admin;

/**
 * An operator's request to resolve a call whose outcome is unknown.
 *
 * <p>Immutable and thread-safe.
 *
 * @param ran whether the call ran, or null if the field is missing
 * @param note the evidence for it, or null if the field is missing
 */
public record ResolveCallRequest(Boolean ran, String note) {}
