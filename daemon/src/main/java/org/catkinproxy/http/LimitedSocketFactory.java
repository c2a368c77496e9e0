package org.catkinproxy.http;

import static com.google.common.base.Preconditions.checkArgument;

import java.io.FilterInputStream;
import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

import javax.net.SocketFactory;

/**
 * Makes sockets for clients that reject responses over a size.
 *
 * <p>Servers in trouble send bytes without end, in a body, a head, a line with the size of a chunk
 * or trailers. The client library limits some of these and reads others into memory, so the limit
 * is at the socket and counts all bytes that arrive after the last that was sent. Immutable and
 * safe for use by any thread; a socket is safe for one reader and one writer.
 */
public final class LimitedSocketFactory extends SocketFactory {
    private final long mMaxResponseBytes;

    private LimitedSocketFactory(long maxResponseBytes) {
        mMaxResponseBytes = maxResponseBytes;
    }

    /** Returns a factory for connections whose responses have at most {@code maxResponseBytes}. */
    public static LimitedSocketFactory of(long maxResponseBytes) {
        checkArgument(maxResponseBytes > 0, "maxResponseBytes: %s", maxResponseBytes);
        return new LimitedSocketFactory(maxResponseBytes);
    }

    @Override
    public Socket createSocket() {
        return new LimitedSocket(mMaxResponseBytes);
    }

    @Override
    public Socket createSocket(String host, int port) throws IOException {
        return connect(new InetSocketAddress(host, port));
    }

    @Override
    public Socket createSocket(InetAddress host, int port) throws IOException {
        return connect(new InetSocketAddress(host, port));
    }

    @Override
    public Socket createSocket(String host, int port, InetAddress local, int localPort)
            throws IOException {
        return connect(new InetSocketAddress(host, port), new InetSocketAddress(local, localPort));
    }

    @Override
    public Socket createSocket(InetAddress host, int port, InetAddress local, int localPort)
            throws IOException {
        return connect(new InetSocketAddress(host, port), new InetSocketAddress(local, localPort));
    }

    private Socket connect(InetSocketAddress remote) throws IOException {
        return connect(remote, new InetSocketAddress(0));
    }

    private Socket connect(InetSocketAddress remote, InetSocketAddress local) throws IOException {
        Socket socket = createSocket();
        try {
            socket.bind(local);
            socket.connect(remote);
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    private static final class LimitedSocket extends Socket {
        private final long mMaxBytes;

        /** The bytes that have arrived since the last that were sent. */
        private volatile long mArrivedBytes;

        LimitedSocket(long maxBytes) {
            mMaxBytes = maxBytes;
        }

        private void recordArrived(int bytes) throws IOException {
            // Only the reader adds; a request that is written at the same time begins anew.
            long arrived = mArrivedBytes + Math.max(0, bytes);
            mArrivedBytes = arrived;
            if (arrived > mMaxBytes) {
                throw new IOException("response exceeds " + mMaxBytes + " bytes");
            }
        }

        @Override
        public InputStream getInputStream() throws IOException {
            return new FilterInputStream(super.getInputStream()) {
                @Override
                public int read() throws IOException {
                    int next = super.read();
                    recordArrived(next < 0 ? 0 : 1);
                    return next;
                }

                @Override
                public int read(byte[] bytes, int offset, int length) throws IOException {
                    int read = super.read(bytes, offset, length);
                    recordArrived(read);
                    return read;
                }
            };
        }

        @Override
        public OutputStream getOutputStream() throws IOException {
            return new FilterOutputStream(super.getOutputStream()) {
                @Override
                public void write(int b) throws IOException {
                    mArrivedBytes = 0;
                    out.write(b);
                }

                @Override
                public void write(byte[] bytes, int offset, int length) throws IOException {
                    mArrivedBytes = 0;
                    out.write(bytes, offset, length);
                }
            };
        }
    }
}
