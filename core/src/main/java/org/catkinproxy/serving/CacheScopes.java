package org.catkinproxy.serving;

import org.catkinproxy.id.WorkspaceId;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HexFormat;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * The scopes in which the cached parts of prompts are shared under one configuration.
 *
 * <p>A cached part is found only under the scope in which it was made, and outlives changes of the
 * configuration. The scope of the workspaces that share therefore names the isolated ones: whatever
 * is found under it was made by a workspace that was not one of them, also if the configuration has
 * changed several times since. It depends on the configuration alone, so that all instances agree,
 * and stays the same when a workspace is added that shares. Immutable and thread-safe.
 */
public final class CacheScopes {
    /** The scopes without isolated workspaces. */
    public static final CacheScopes ALL_SHARED = new CacheScopes(Set.of());

    /** Begins the scope of the workspaces that share; begins no other scope. */
    private static final String SHARED_PREFIX = "*";

    /** Begins the scope of an isolated workspace whose name cannot be its scope. */
    private static final String NAMED_PREFIX = "~";

    /** The names of workspaces that are their scopes. */
    private static final Pattern SCOPE_PATTERN =
            Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]{0,127}");

    /** Length of the digest of the isolated workspaces, in bytes. */
    private static final int DIGEST_BYTES = 16;

    private final Set<WorkspaceId> mIsolated;
    private final String mSharedScope;

    private CacheScopes(Set<WorkspaceId> isolated) {
        mIsolated = isolated;
        mSharedScope = isolated.isEmpty() ? SHARED_PREFIX : SHARED_PREFIX + digest(isolated);
    }

    /** Returns the scopes of a configuration with the given isolated workspaces. */
    public static CacheScopes of(Collection<WorkspaceId> isolated) {
        return isolated.isEmpty() ? ALL_SHARED : new CacheScopes(Set.copyOf(isolated));
    }

    private static String digest(Set<WorkspaceId> workspaces) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (WorkspaceId workspace : new TreeSet<>(workspaces)) {
                digest.update(workspace.value().getBytes(StandardCharsets.UTF_8));
                digest.update((byte) 0);
            }
            return HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Returns whether a workspace shares no cached parts with others. */
    public boolean isIsolated(WorkspaceId workspace) {
        return mIsolated.contains(workspace);
    }

    /** Returns the scope of an isolated workspace. */
    public String isolatedScope(WorkspaceId workspace) {
        return SCOPE_PATTERN.matcher(workspace.value()).matches()
                ? workspace.value()
                : NAMED_PREFIX + digest(Set.of(workspace));
    }

    /** Returns the scope of the workspaces that are not isolated, and of requests without one. */
    public String sharedScope() {
        return mSharedScope;
    }
}
