import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Forwards connections, and can let the open ones go silent for good while new ones work. */
final class Proxy {
    private static final class Link {
        volatile boolean silent;
    }

    private final ServerSocket mListener;
    private final int mTargetPort;
    private final List<Link> mLinks = new CopyOnWriteArrayList<>();

    Proxy(String target) throws IOException {
        mListener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        mTargetPort = Integer.parseInt(target.substring(target.indexOf(':') + 1));
        Store.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    /** Delivers nothing more on the open connections, in either direction, and closes none. */
    int silence() {
        int count = 0;
        for (Link link : mLinks) {
            count += link.silent ? 0 : 1;
            link.silent = true;
        }
        return count;
    }

    private void accept() {
        try {
            while (true) {
                Socket caller = mListener.accept();
                Socket target = new Socket("127.0.0.1", mTargetPort);
                caller.setTcpNoDelay(true);
                target.setTcpNoDelay(true);
                Link link = new Link();
                mLinks.add(link);
                Store.daemon(() -> copy(caller, target, link));
                Store.daemon(() -> copy(target, caller, link));
            }
        } catch (IOException e) {
            // The process ends.
        }
    }

    private void copy(Socket from, Socket to, Link link) {
        byte[] bytes = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            for (int n = in.read(bytes); n >= 0; n = in.read(bytes)) {
                if (!link.silent) {
                    to.getOutputStream().write(bytes, 0, n);
                    to.getOutputStream().flush();
                }
            }
        } catch (IOException e) {
            // One side has closed.
        }
        if (!link.silent) {
            mLinks.remove(link);
            close(from);
            close(to);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }
}
