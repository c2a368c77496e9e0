package org.catkinproxy.gateway;

import java.io.IOException;

/** Thrown when bytes from a server are no HTTP/1.1 response. Immutable and thread-safe. */
final class MalformedResponseException extends IOException {
    private static final long serialVersionUID = 1;

    MalformedResponseException(String message) {
        super(message);
    }
}
