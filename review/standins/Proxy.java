import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** Forwards connections to one address, and can be cut: it then holds all bytes. Thread-safe. */
final class Proxy {
    private final ServerSocket mListener;
    private final String mTarget;
    private boolean mCut;

    Proxy(String target) {
        mTarget = target;
        try {
            mListener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Server.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    synchronized void setCut(boolean cut) {
        mCut = cut;
        notifyAll();
    }

    private synchronized void awaitPath() throws InterruptedException {
        while (mCut) {
            wait();
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket client = mListener.accept();
                Server.daemon(() -> connect(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket client) {
        try {
            awaitPath();
            int colon = mTarget.lastIndexOf(':');
            Socket server =
                    new Socket(
                            mTarget.substring(0, colon),
                            Integer.parseInt(mTarget.substring(colon + 1)));
            Server.daemon(() -> forward(client, server));
            forward(server, client);
        } catch (IOException e) {
            // The client loses its connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void forward(Socket from, Socket to) {
        byte[] buffer = new byte[16 * 1024];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            int read = in.read(buffer);
            while (read >= 0) {
                awaitPath();
                to.getOutputStream().write(buffer, 0, read);
                read = in.read(buffer);
            }
            awaitPath();
        } catch (IOException e) {
            // Both connections end.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
