import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Workers begin to answer before they have read a long body, and their answers have no length. One of
 * four workers crashes three times while it answers.
 */
final class EarlyAnswer {
    private static final int WORKERS = 4;
    private static final int CLIENTS = 4;
    private static final int REQUESTS = 240;

    /** Below the limit of the desired state, 4,194,304 bytes. */
    private static final int BODY_BYTES = 4_190_000;

    /** The small window of a worker's connections. */
    private static final int RECEIVE_BUFFER_BYTES = 16 * 1024;

    private static final int PIECES = 8;
    private static final long PIECE_MILLIS = 30;
    private static final long DOWN_MILLIS = 1_000;
    private static final long CRASH_MILLIS = 4_000;
    private static final int CRASHES = 3;
    private static final String KEY = "key-of-the-portal";
    private static final String PIECE = "piece %d of the decision on request %s\n";

    private final Case mRun;
    private final AtomicInteger mWhole = new AtomicInteger();
    private final Set<String> mWrong = ConcurrentHashMap.newKeySet();

    private EarlyAnswer(Case run) {
        mRun = run;
    }

    public static void main(String[] args) {
        Case.main("1", run -> new EarlyAnswer(run).run());
    }

    private boolean run() throws Exception {
        List<EarlyWorker> workers = new ArrayList<>();
        for (int i = 1; i <= WORKERS; i++) {
            workers.add(new EarlyWorker("desk-" + i));
        }
        mRun.store().put("op", "config", Config.of(1, "\"" + KEY + "\""));
        Gateway gateway = mRun.gateway("edge-1").start();
        Thread.sleep(1_500);
        if (Case.hasTrouble()) {
            Server.daemon(() -> crashThreeTimes(workers.get(0)));
        }
        AtomicInteger next = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Server.daemon(() -> sendAll(gateway, next)));
        }
        for (Thread client : clients) {
            client.join();
        }
        mRun.record()
                .add(
                        "%d answers whole; successes with a part of the worker's body: %s",
                        mWhole.get(), mWrong);
        if (mWhole.get() < REQUESTS / 2) {
            throw new IllegalStateException("the deployment does not serve requests");
        }
        return mWrong.isEmpty();
    }

    private static void crashThreeTimes(EarlyWorker worker) {
        try {
            for (int i = 0; i < CRASHES; i++) {
                Thread.sleep(CRASH_MILLIS);
                worker.crashInNextAnswer();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendAll(Gateway gateway, AtomicInteger next) {
        for (int number = next.incrementAndGet();
                number <= REQUESTS;
                number = next.incrementAndGet()) {
            String id = "file-" + number;
            Map<String, String> headers = Client.headers("Authorization", "Bearer " + KEY);
            Optional<Http.Message> answer =
                    new Client(mRun.record())
                            .send(
                                    gateway.front(), id, "POST", "/file/" + number, 1_000, headers,
                                    new byte[BODY_BYTES]);
            if (answer.filter(a -> a.status() == 200 && a.complete()).isEmpty()) {
                continue;
            }
            StringBuilder whole = new StringBuilder();
            for (int piece = 1; piece <= PIECES; piece++) {
                whole.append(PIECE.formatted(piece, id));
            }
            if (answer.get().text().contentEquals(whole)) {
                mWhole.incrementAndGet();
            } else {
                mWrong.add(id);
                mRun.record()
                        .add(
                                "client has  %d bytes of %d in a complete success (request %s)",
                                answer.get().body().length, whole.length(), id);
            }
        }
    }

    /** A worker that answers early, without a length, and reads the body on meanwhile. */
    private final class EarlyWorker {
        private final String mId;
        private final ServerSocket mListener = new ServerSocket();
        private final Set<Socket> mOpen = ConcurrentHashMap.newKeySet();
        private volatile long mBorn = System.currentTimeMillis();
        private volatile boolean mCrashes;
        private volatile boolean mDown;

        EarlyWorker(String id) throws IOException {
            mId = id;
            mListener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            mListener.bind(new InetSocketAddress("127.0.0.1", 0), 256);
            Server.daemon(this::beat);
            Server.daemon(this::accept);
        }

        void crashInNextAnswer() {
            mCrashes = true;
        }

        private void beat() {
            int beats = 0;
            try {
                while (true) {
                    if (!mDown) {
                        mRun.store().put("servers", mId, row(++beats));
                    }
                    Thread.sleep(600);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        private String row(int beats) {
            return "{\"service\":\"desk\",\"addr\":\"127.0.0.1:%d\",\"zone\":\"z1\",\"version\":1,\"slots\":6,\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":%d,\"born\":%d}"
                    .formatted(mListener.getLocalPort(), beats, mBorn);
        }

        private void accept() {
            while (true) {
                try {
                    Socket socket = mListener.accept();
                    if (mDown) {
                        reset(socket);
                    } else {
                        mOpen.add(socket);
                        Server.daemon(() -> serve(socket));
                    }
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 1_024);
                Map<String, String> headers = readHead(in);
                if (headers.isEmpty()) {
                    return;
                }
                String id = headers.get(Wire.name("request-id"));
                mRun.record().add("%s  runs request %s", mId, id);
                answer(socket, in, id, Long.parseLong(headers.get("Content-Length")));
                mRun.record().add("%s  has answered request %s", mId, id);
            } catch (IOException e) {
                mRun.record().add("%s  connection ended: %s", mId, e.getMessage());
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                mOpen.remove(socket);
            }
        }

        private void answer(Socket socket, BufferedInputStream in, String id, long bodyBytes)
                throws IOException, InterruptedException {
            OutputStream out = socket.getOutputStream();
            String head =
                    "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal.%s\r\nConnection: close\r\n\r\n"
                            .formatted(
                                    Wire.name("request-id"), id, Wire.name("seal"), mId);
            out.write(head.getBytes());
            for (int piece = 1; piece <= PIECES; piece++) {
                out.write(PIECE.formatted(piece, id).getBytes());
                Thread.sleep(PIECE_MILLIS);
                if (mCrashes && piece == PIECES / 2) {
                    crash(id, piece);
                    throw new IOException("worker has crashed");
                }
            }
            in.skipNBytes(bodyBytes);
        }

        private void crash(String id, int piece) {
            mRun.record().add("%s  CRASHES after piece %d of request %s", mId, piece, id);
            mCrashes = false;
            mDown = true;
            mOpen.forEach(EarlyAnswer::reset);
            Server.daemon(
                    () -> {
                        try {
                            Thread.sleep(DOWN_MILLIS);
                        } catch (InterruptedException e) {
                            return;
                        }
                        mBorn = System.currentTimeMillis();
                        mDown = false;
                    });
        }

        private Map<String, String> readHead(BufferedInputStream in) throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            while (!head.toString().endsWith("\r\n\r\n")) {
                int next = in.read();
                if (next < 0) {
                    return Map.of();
                }
                head.write(next);
            }
            Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
            for (String line : head.toString().split("\r\n")) {
                int colon = line.indexOf(": ");
                if (colon > 0) {
                    headers.put(line.substring(0, colon), line.substring(colon + 2));
                }
            }
            return headers;
        }
    }

    /** Closes a connection as the kernel does for a process that is killed with unread data. */
    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
