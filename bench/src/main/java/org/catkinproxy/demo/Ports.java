package org.catkinproxy.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/** Gives free ports of loopback, counting up from a first one. Used by one thread. */
final class Ports {
    private static final int LAST = 65_535;

    private int mNext;

    Ports(int first) {
        mNext = first;
    }

    /** Returns the next port on which nothing listens. */
    int take() {
        while (mNext <= LAST) {
            int port = mNext++;
            if (isFree(port)) {
                return port;
            }
        }
        throw new IllegalStateException("no free port is left");
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException e) {
            return false;
        }
    }
}
