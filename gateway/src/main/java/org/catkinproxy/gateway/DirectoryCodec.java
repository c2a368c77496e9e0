package org.catkinproxy.gateway;

import java.time.Duration;
import java.util.List;

/**
 * Recognizes requests for readiness and for instance addresses, and encodes their responses.
 *
 * <p>Implementations are stateless, and so safe for use by any thread.
 */
public interface DirectoryCodec {
    /** Returns whether {@code path} is the path of the readiness probe. */
    boolean isReadinessPath(String path);

    /** Returns whether {@code path} is the path at which callers look up instances. */
    boolean isDirectoryPath(String path);

    /** Returns the response body with instance addresses that are valid for {@code ttl}. */
    byte[] writeAddresses(List<String> addresses, Duration ttl);
}
