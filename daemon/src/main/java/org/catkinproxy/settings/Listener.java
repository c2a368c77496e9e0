package org.catkinproxy.settings;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Optional;

/**
 * An address on which the daemon listens, with or without TLS.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param host the IP number of the local interface
 * @param port the port, 0 for any free one
 * @param tls the files for TLS, empty for plain TCP
 */
public record Listener(String host, int port, Optional<TlsFiles> tls) {
    private static final int MAX_PORT = 65_535;

    /** Checks the port. */
    public Listener {
        checkNotNull(host, "host");
        checkArgument(port >= 0 && port <= MAX_PORT, "port is out of range: %s", port);
        checkNotNull(tls, "tls");
    }

    /** Returns a listener without TLS. */
    public static Listener of(String host, int port) {
        return new Listener(host, port, Optional.empty());
    }

    /** Returns host and port, as in {@code 10.0.0.1:8080}. */
    public String address() {
        return host + ":" + port;
    }
}
