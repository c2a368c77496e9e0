package org.catkinproxy.peer;

import org.apache.thrift.server.TServer;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;
import org.catkinproxy.peer.gen.Peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;

/**
 * Answers peers on a listener of its own.
 *
 * <p>A connection holds one of a bounded number of threads; beyond that, new connections are
 * closed, and one without calls is closed after the idle time. Safe for use by any thread.
 */
final class PeerServer implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 64;
    private static final int BACKLOG = 128;

    private final ServerSocket mSocket;
    private final TServer mServer;
    private final Thread mThread;

    private PeerServer(
            ServerSocket socket, Peer.Iface handler, PeerTimeouts timeouts, Optional<PeerTls> tls)
            throws TTransportException {
        mSocket = socket;
        TThreadPoolServer.Args args =
                new TThreadPoolServer.Args(new Listener(socket, timeouts.idleMillis(), tls))
                        .minWorkerThreads(2)
                        .maxWorkerThreads(MAX_CONNECTIONS)
                        .stopTimeoutVal(1)
                        .processor(new Peer.Processor<>(handler))
                        .transportFactory(PeerTransport.frames())
                        .protocolFactory(PeerTransport.protocols());
        mServer = new TThreadPoolServer(args);
        mThread = new Thread(this::serve, "peer-server");
        mThread.setDaemon(true);
    }

    /** Opens the listener; calls are answered when this returns. */
    static PeerServer open(
            String host,
            int port,
            Peer.Iface handler,
            PeerTimeouts timeouts,
            Optional<PeerTls> tls) {
        try {
            ServerSocket socket = new ServerSocket(port, BACKLOG, InetAddress.getByName(host));
            PeerServer server = new PeerServer(socket, handler, timeouts, tls);
            server.mThread.start();
            return server;
        } catch (IOException | TTransportException e) {
            throw CatkinException.of(
                    ErrorCode.INVALID_SETTINGS,
                    Step.GOSSIP,
                    CatkinException.NO_PEER,
                    Outcome.NOT_RUN,
                    "peers can not be served on " + host + ":" + port + ": " + e.getMessage(),
                    e);
        }
    }

    int port() {
        return mSocket.getLocalPort();
    }

    @Override
    public void close() {
        mServer.stop();
        try {
            mSocket.close();
        } catch (IOException e) {
            EventLog.log(LogEvent.PEER_SERVER_FAILED, e);
        }
    }

    private void serve() {
        try {
            mServer.serve();
        } catch (RuntimeException e) {
            EventLog.log(LogEvent.PEER_SERVER_FAILED, e);
        }
    }

    /** Accepts connections, with TLS from the files as they are at that moment. */
    private static final class Listener extends TServerSocket {
        private final int mIdleMillis;
        private final Optional<PeerTls> mTls;

        Listener(ServerSocket socket, int idleMillis, Optional<PeerTls> tls)
                throws TTransportException {
            super(socket, idleMillis);
            mIdleMillis = idleMillis;
            mTls = tls;
        }

        @Override
        public TSocket accept() throws TTransportException {
            Socket plain = null;
            try {
                plain = getServerSocket().accept();
                plain.setTcpNoDelay(true);
                plain.setSoTimeout(mIdleMillis);
                return new TSocket(mTls.isPresent() ? mTls.get().accept(plain) : plain);
            } catch (IOException e) {
                Sockets.closeQuietly(plain);
                throw new TTransportException(e);
            }
        }
    }
}
