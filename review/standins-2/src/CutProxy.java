import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Forwards connections, and can cut the link for a time: open connections fall silent, and opening
 * packets are dropped, as the queue of new connections is full.
 */
final class CutProxy {
    private static final int QUEUE = 1;

    private static final class Link {
        volatile boolean silent;
    }

    private final ServerSocket mListener;
    private final int mTargetPort;
    private final List<Link> mLinks = new CopyOnWriteArrayList<>();
    private final List<Socket> mFillers = new ArrayList<>();
    private volatile boolean mCut;

    CutProxy(String target) throws IOException {
        mListener = new ServerSocket(0, QUEUE, InetAddress.getByName("127.0.0.1"));
        mTargetPort = Integer.parseInt(target.substring(target.indexOf(':') + 1));
        mListener.setSoTimeout(5);
        Store.daemon(this::accept);
    }

    String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    void cut() throws IOException, InterruptedException {
        mCut = true;
        Thread.sleep(20); // The accepting thread has seen it.
        mLinks.forEach(link -> link.silent = true);
        for (int i = 0; i < QUEUE + 2; i++) {
            Socket filler = new Socket();
            mFillers.add(filler);
            try {
                filler.connect(mListener.getLocalSocketAddress(), 50);
            } catch (IOException e) {
                return; // The queue is full.
            }
        }
    }

    void heal() throws IOException {
        for (Socket filler : mFillers) {
            filler.close();
        }
        mFillers.clear();
        mCut = false;
    }

    private void accept() {
        while (true) {
            try {
                if (mCut) {
                    Thread.sleep(2);
                    continue;
                }
                Socket caller = mListener.accept();
                Socket target = new Socket("127.0.0.1", mTargetPort);
                caller.setTcpNoDelay(true);
                target.setTcpNoDelay(true);
                Link link = new Link();
                mLinks.add(link);
                Store.daemon(() -> copy(caller, target, link));
                Store.daemon(() -> copy(target, caller, link));
            } catch (IOException e) {
                // Nobody connects at the moment.
            } catch (InterruptedException e) {
                return;
            }
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
            try {
                from.close();
                to.close();
            } catch (IOException e) {
                // They are closed.
            }
        }
    }
}
