package org.catkinproxy.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;

import org.apache.thrift.TException;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.catkinproxy.peer.gen.Peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;

/**
 * Calls peers, on kept connections where there are any.
 *
 * <p>A kept connection that fails or stays silent for the read time-out is closed, and the call is
 * made again on a fresh one: an old connection that went silent does not mean that the peer is
 * gone. Calls block. Safe for use by any thread.
 */
final class PeerClient implements AutoCloseable {
    private static final int MAX_IDLE = 16;

    private final PeerTimeouts mTimeouts;
    private final Optional<PeerTls> mTls;
    private final Deque<Connection> mIdle = new ArrayDeque<>();
    private boolean mClosed;

    PeerClient(PeerTimeouts timeouts, Optional<PeerTls> tls) {
        mTimeouts = checkNotNull(timeouts, "timeouts");
        mTls = checkNotNull(tls, "tls");
    }

    /** Makes a call that may be repeated. */
    <T> T call(HostAndPort address, Call<T> call) throws TException {
        Connection kept = take(address);
        if (kept != null) {
            try {
                return finish(kept, call);
            } catch (TTransportException e) {
                // The fresh connection below decides whether the peer can be reached.
                kept.close();
            }
        }
        return finish(open(address), call);
    }

    @Override
    public synchronized void close() {
        mClosed = true;
        mIdle.forEach(Connection::close);
        mIdle.clear();
    }

    private <T> T finish(Connection connection, Call<T> call) throws TException {
        boolean whole = false;
        try {
            T answer = call.on(connection.mClient);
            whole = true;
            return answer;
        } finally {
            if (whole) {
                keep(connection);
            } else {
                connection.close();
            }
        }
    }

    private synchronized Connection take(HostAndPort address) {
        Iterator<Connection> idle = mIdle.iterator();
        while (idle.hasNext()) {
            Connection connection = idle.next();
            if (connection.mAddress.equals(address)) {
                idle.remove();
                return connection;
            }
        }
        return null;
    }

    private synchronized void keep(Connection connection) {
        if (mClosed) {
            connection.close();
            return;
        }
        mIdle.addFirst(connection);
        if (mIdle.size() > MAX_IDLE) {
            mIdle.removeLast().close();
        }
    }

    private Connection open(HostAndPort address) throws TTransportException {
        Socket socket = new Socket();
        try {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(mTimeouts.readMillis());
            socket.connect(
                    new InetSocketAddress(address.getHost(), address.getPort()),
                    mTimeouts.connectMillis());
            Socket ready = mTls.isPresent() ? mTls.get().connect(socket) : socket;
            return new Connection(address, new TSocket(ready));
        } catch (IOException e) {
            Sockets.closeQuietly(socket);
            throw new TTransportException(TTransportException.NOT_OPEN, e);
        }
    }

    /** One call on a connection. */
    interface Call<T> {
        T on(Peer.Iface peer) throws TException;
    }

    private static final class Connection {
        private final HostAndPort mAddress;
        private final TTransport mSocket;
        private final Peer.Client mClient;

        Connection(HostAndPort address, TTransport socket) throws TTransportException {
            mAddress = address;
            mSocket = socket;
            mClient = new Peer.Client(PeerTransport.protocol(socket));
        }

        void close() {
            mSocket.close();
        }
    }
}
