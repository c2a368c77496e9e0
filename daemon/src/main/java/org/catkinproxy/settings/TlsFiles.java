package org.catkinproxy.settings;

import static com.google.common.base.Preconditions.checkNotNull;

import java.nio.file.Path;
import java.util.Optional;

/**
 * The PEM files of a TLS listener; their content may be replaced while the daemon runs.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param certificate the certificate chain, leaf first
 * @param key the private key in PKCS#8
 * @param trust the certificates that other daemons' certificates must lead to; required for peers
 */
public record TlsFiles(Path certificate, Path key, Optional<Path> trust) {
    /** Checks that all parts are there. */
    public TlsFiles {
        checkNotNull(certificate, "certificate");
        checkNotNull(key, "key");
        checkNotNull(trust, "trust");
    }
}
