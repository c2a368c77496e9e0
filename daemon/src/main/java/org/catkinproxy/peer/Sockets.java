package org.catkinproxy.peer;

import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;

import java.io.IOException;
import java.net.Socket;

/** Helps with sockets. Stateless. */
final class Sockets {
    private Sockets() {}

    /** Closes a socket that is of no use any more; {@code socket} may be null. */
    static void closeQuietly(Socket socket) {
        if (socket == null) {
            return;
        }
        try {
            socket.close();
        } catch (IOException e) {
            EventLog.log(LogEvent.PEER_FAILED, socket.getRemoteSocketAddress(), e);
        }
    }
}
