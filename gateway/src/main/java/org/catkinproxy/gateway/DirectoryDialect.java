package org.catkinproxy.gateway;

import java.time.Duration;
import java.util.List;

/** How the platform and callers ask about instances. Implementations are stateless. */
public interface DirectoryDialect {
    /** Tells whether the request asks if the instance is ready. */
    boolean asksReadiness(String path);

    /** Tells whether the request asks which instances to use. */
    boolean asksAddresses(String path);

    /** Returns the body that names addresses to use for {@code ttl}. */
    byte[] writeAddresses(List<String> addresses, Duration ttl);
}
