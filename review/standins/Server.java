import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A server with one daemon thread for each connection. It can fall silent, like a machine without
 * power: open connections stay open without a byte, and new ones are not established. Thread-safe.
 */
final class Server {
    /** The shortest queue of new connections, which a silent server keeps full. */
    private static final int BACKLOG = 2;

    private static final int FILL_TIMEOUT_MILLIS = 200;

    /** Handles one request; closes the socket to end the connection. */
    interface Handler {
        void handle(Http.Message request, OutputStream out, Socket socket) throws Exception;
    }

    private final ServerSocket mListener;
    private final Handler mHandler;
    private final List<Socket> mFillers = new ArrayList<>();

    /** Grows by one with each silence; connections of an earlier life get no byte any more. */
    private volatile int mLife;

    private volatile boolean mSilent;

    Server(Handler handler) {
        this(handler, 256);
    }

    private Server(Handler handler, int backlog) {
        mHandler = handler;
        try {
            mListener = new ServerSocket(0, backlog, InetAddress.getByName("127.0.0.1"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        daemon(this::accept);
    }

    /** Returns a server that can fall silent. */
    static Server withSilence(Handler handler) {
        return new Server(handler, BACKLOG);
    }

    /** Returns the number of the present life of the server. */
    int life() {
        return mLife;
    }

    /** Ends a life: no connection gets a byte from now on until {@link #endSilence}. */
    synchronized void beginSilence() {
        mSilent = true;
        mLife++;
        daemon(this::fillQueue);
    }

    synchronized void endSilence() {
        mSilent = false;
        closeFillers();
        notifyAll();
    }

    private synchronized void closeFillers() {
        for (Socket filler : mFillers) {
            try {
                filler.close();
            } catch (IOException e) {
                // It is of no use any more.
            }
        }
        mFillers.clear();
    }

    /** Fills the queue of new connections, so that no further one is established. */
    private void fillQueue() {
        try {
            while (mSilent) {
                Socket filler = new Socket();
                filler.connect(mListener.getLocalSocketAddress(), FILL_TIMEOUT_MILLIS);
                synchronized (this) {
                    mFillers.add(filler);
                }
            }
        } catch (IOException e) {
            // The queue is full.
        }
        if (!mSilent) {
            closeFillers();
        }
    }

    String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = mListener.accept();
                awaitLife();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            } catch (IOException | InterruptedException e) {
                return;
            }
        }
    }

    private synchronized void awaitLife() throws InterruptedException {
        while (mSilent) {
            wait();
        }
    }

    private void serve(Socket socket) {
        int life = mLife;
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (!socket.isClosed()) {
                Optional<Http.Message> request = Http.readRequest(in);
                if (request.isEmpty()) {
                    return;
                }
                if (life != mLife) {
                    sleepForever();
                }
                mHandler.handle(request.get(), socket.getOutputStream(), socket);
            }
        } catch (IOException e) {
            // The peer has closed the connection.
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** Keeps a connection of an earlier life open, without a byte. */
    static void sleepForever() throws InterruptedException {
        Thread.sleep(Long.MAX_VALUE);
    }
}
