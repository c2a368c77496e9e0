import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A worker: registers in the store and hands each request to a handler. */
class WorkerStandin {
    /** How often a worker writes its entry, in ms. */
    private static final long HEARTBEAT_MILLIS = 1_200;

    /** Runs the requests of one worker, several at a time. */
    interface Handler {
        /** Answers a request that is meant for this worker. */
        void run(WorkerStandin worker, Message request, OutputStream out)
                throws IOException, InterruptedException;
    }

    private final StoreStandin mStore;
    private final String mId;
    private final String mService;
    private final String mExtraFields;
    private final Handler mHandler;
    private final ServerSocket mListener;
    private final long mBorn = System.currentTimeMillis();
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final ThreadLocal<Socket> mServed = new ThreadLocal<>();
    private volatile boolean mCrashed;
    private long mSeq;

    WorkerStandin(
            StoreStandin store, String id, String service, String extraFields, Handler handler)
            throws IOException {
        mStore = store;
        mId = id;
        mService = service;
        mExtraFields = extraFields;
        mHandler = handler;
        mListener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
        daemon(this::beat);
    }

    String id() {
        return mId;
    }

    String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void beat() {
        try {
            while (!mCrashed) {
                writeEntry();
                Thread.sleep(HEARTBEAT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void writeEntry() {
        if (mCrashed) {
            return;
        }
        mSeq++;
        mStore.put(
                "servers",
                mId,
                String.format(
                        "{\"service\":\"%s\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"ne-a\","
                                + "\"version\":\"v1\",\"slots\":64,\"state\":\"ready\","
                                + "\"cold-left-ms\":0,\"born\":%d,\"seq\":%d%s}",
                        mService, mListener.getLocalPort(), mBorn, mSeq, mExtraFields));
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mListener.accept();
                mSockets.add(socket);
                daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // The worker has crashed.
        }
    }

    /** Returns whether the worker has crashed. */
    boolean isCrashed() {
        return mCrashed;
    }

    /**
     * Ends the worker without notice: its connections are reset, and its entry goes after three
     * heartbeats. Returns false if it has crashed before.
     */
    synchronized boolean crash() throws IOException {
        if (mCrashed) {
            return false;
        }
        mCrashed = true;
        mListener.close();
        for (Socket socket : mSockets) {
            reset(socket);
        }
        daemon(
                () -> {
                    try {
                        Thread.sleep(3 * HEARTBEAT_MILLIS);
                        mStore.delete("servers", mId);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                });
        return true;
    }

    /** Resets the connection that the calling thread serves. */
    void resetConnection() {
        reset(mServed.get());
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It was closed before.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            mServed.set(socket);
            socket.setTcpNoDelay(true);
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            for (Message m = Message.read(in); m != null; m = Message.read(in)) {
                String expected = m.field(Names.of("expect-instance"));
                if (expected != null && !expected.equals(mId)) {
                    answer(m, out, 421, Names.of("not-run") + ": 1\r\n", "");
                } else {
                    mHandler.run(this, m, out);
                }
            }
        } catch (IOException e) {
            // The caller has closed the connection, or the worker has crashed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            mSockets.remove(socket);
        }
    }

    /** Writes an answer of known length with the worker's seal and the request's id. */
    static void answer(Message request, OutputStream out, int status, String fields, String body)
            throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String id = request.field(Names.of("request-id"));
        String head =
                "HTTP/1.1 " + status + " X\r\n"
                        + (id == null ? "" : Names.of("request-id") + ": " + id + "\r\n")
                        + (status == 421 ? "" : Names.of("seal") + ": seal-" + id + "\r\n")
                        + fields
                        + "Keep-Alive: timeout=30\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[headBytes.length + bytes.length];
        System.arraycopy(headBytes, 0, all, 0, headBytes.length);
        System.arraycopy(bytes, 0, all, headBytes.length, bytes.length);
        out.write(all);
        out.flush();
    }
}
