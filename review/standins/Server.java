import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server with one daemon thread for each connection. Thread-safe. */
final class Server {
    /** Handles one request; closes the socket to end the connection. */
    interface Handler {
        void handle(Http.Message request, OutputStream out, Socket socket) throws Exception;
    }

    private final ServerSocket mListener;
    private final Handler mHandler;
    private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();

    Server(Handler handler) {
        mHandler = handler;
        try {
            mListener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        daemon(this::accept);
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

    /** Ends the server as the end of its process does: nothing is accepted, and nothing stays open. */
    void stop() {
        try {
            mListener.close();
            for (Socket socket : mOpen) {
                socket.close();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = mListener.accept();
                socket.setTcpNoDelay(true);
                mOpen.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            while (!socket.isClosed()) {
                Optional<Http.Message> request = Http.readRequest(in);
                if (request.isEmpty()) {
                    return;
                }
                mHandler.handle(request.get(), socket.getOutputStream(), socket);
            }
        } catch (IOException e) {
            // The peer has closed the connection.
        } catch (Exception e) {
            throw new IllegalStateException(e);
        } finally {
            mOpen.remove(socket);
        }
    }
}
