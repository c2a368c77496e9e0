import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * A worker of a service, which registers itself in the store and checks which instance a request is
 * meant for. Thread-safe.
 */
final class Worker {
    static final String MODEL = "m0";

    /** How a worker answers a request of a client that it runs. */
    interface Work {
        void run(Worker worker, Http.Message request, OutputStream out, Socket socket)
                throws Exception;
    }

    private static final long HEARTBEAT_MILLIS = 1_200;

    private final ObjectMapper mJson = new ObjectMapper();
    private final Store mStore;
    private final Record mRecord;
    private final String mId;
    private final String mService;
    private final boolean mEngine;
    private final Work mWork;
    private final long mBorn = System.currentTimeMillis();
    private final Server mServer = new Server(this::handle);
    private volatile boolean mLeaving;
    private int mVersion = 1;
    private long mOrders;
    private long mBeats;

    private Worker(
            Store store, Record record, String id, String service, boolean engine, Work work) {
        mStore = store;
        mRecord = record;
        mId = id;
        mService = service;
        mEngine = engine;
        mWork = work;
        Server.daemon(this::beat);
    }

    /** Starts a worker of a plain service. */
    static Worker plain(Store store, Record record, String id, String service, Work work) {
        return new Worker(store, record, id, service, false, work);
    }

    /** Starts a worker that runs a model. */
    static Worker engine(Store store, Record record, String id, String service, Work work) {
        return new Worker(store, record, id, service, true, work);
    }

    String id() {
        return mId;
    }

    String address() {
        return mServer.address();
    }

    /**
     * Leaves without a report of it: the entry is removed, and the worker ends after {@code millis}.
     */
    void leave(long millis) throws InterruptedException {
        mLeaving = true;
        mStore.remove("servers", mId);
        mRecord.add("%s  is leaving: its entry is removed", mId);
        Thread.sleep(millis);
        mServer.stop();
        mRecord.add("%s  has ended", mId);
    }

    private void beat() {
        while (!mLeaving) {
            mStore.put("servers", mId, row());
            try {
                Thread.sleep(HEARTBEAT_MILLIS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized String row() {
        mBeats++;
        String models =
                mEngine
                        ? ",\"phase\":\"both\",\"models\":[{\"name\":\"%s\",\"version\":%d,\"adapters\":[]}]"
                                .formatted(MODEL, mVersion)
                        : "";
        return "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"z1\",\"version\":1,\"slots\":%d,\"state\":\"ready\",\"cold-left-ms\":0,\"seq\":%d,\"born\":%d%s}"
                .formatted(mService, address(), mEngine ? 64 : 6, mBeats, mBorn, models);
    }

    private void handle(Http.Message request, OutputStream out, Socket socket) throws Exception {
        boolean misdirected =
                request.field("expect-instance").filter(i -> !i.equals(mId)).isPresent();
        if (misdirected) {
            reply(out, 421, Map.of(Wire.name("instance"), mId), "");
        } else if (request.path().equals("/healthz")) {
            reply(out, 200, Map.of(Wire.name("instance"), mId), "");
        } else if (request.path().equals(Wire.name("call-report"))) {
            reply(out, 200, Map.of(), report());
        } else if (request.path().equals(Wire.name("call-order"))) {
            order(request, out);
        } else if (request.path().equals(Wire.name("call-cache-events"))) {
            TimeUnit.MILLISECONDS.sleep(Long.parseLong(request.header("Wait-Ms").orElse("0")));
            reply(out, 200, Map.of(), "{\"boot-epoch\":1,\"next\":0,\"lost\":false,\"events\":[]}");
        } else if (wantsOtherVersion(request)) {
            reply(out, 421, Map.of(Wire.name("instance"), mId), "");
        } else {
            mRecord.add(
                    "%s  runs %s %s (request %s, tenant %s, last event %s)",
                    mId,
                    request.method(),
                    request.target(),
                    request.field("request-id").orElse("-"),
                    request.field("tenant").orElse("-"),
                    request.field("last-event-id").orElse("-"));
            mWork.run(this, request, out, socket);
        }
    }

    private synchronized boolean wantsOtherVersion(Http.Message request) {
        return request.field("expect-version")
                .filter(v -> !v.equals(Integer.toString(mVersion)))
                .isPresent();
    }

    private synchronized String report() {
        return "{\"phase\":\"both\",\"models\":[{\"name\":\"%s\",\"version\":%d,\"adapters\":[]}],\"busy\":false,\"seq\":%d,\"queued\":0,\"running\":0,\"kv-used\":0,\"kv-total\":100000,\"handles\":0}"
                .formatted(MODEL, mVersion, mOrders);
    }

    private synchronized void order(Http.Message request, OutputStream out) throws IOException {
        JsonNode order = mJson.readTree(request.body());
        mRecord.add(
                "%s  order %s",
                mId, request.text());
        boolean conflict = order.has("expected") && order.path("expected").asLong() != mOrders;
        if (conflict) {
            reply(out, 409, Map.of(), "");
            return;
        }
        mOrders++;
        mVersion = order.path("version").asInt();
        reply(out, 202, Map.of(), "");
    }

    private static void reply(OutputStream out, int status, Map<String, String> headers, String body)
            throws IOException {
        out.write(Http.response(status, headers, body.getBytes()));
    }

    /** Returns the headers that every answer to {@code request} bears. */
    Map<String, String> answerHeaders(Http.Message request) {
        Map<String, String> headers = new TreeMap<>();
        headers.put(Wire.name("request-id"), request.field("request-id").orElse("-"));
        headers.put(Wire.name("seal"), "seal." + mId);
        headers.put(Wire.name("instance"), mId);
        if (mEngine) {
            headers.put(Wire.name("versions"), Integer.toString(mVersion));
        }
        return headers;
    }

    /** Answers with success after {@code millis}. */
    static Work after(long millis) {
        return (worker, request, out, socket) -> {
            Thread.sleep(millis);
            reply(out, 200, worker.answerHeaders(request), "done by " + worker.id());
        };
    }

    /** Returns the head of a stream of events that is sent in chunks. */
    byte[] streamHead(Http.Message request) {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        answerHeaders(request).forEach((k, v) -> head.append(k + ": " + v + "\r\n"));
        head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        return head.toString().getBytes();
    }

    static byte[] event(int id) {
        return chunk("id: " + id + "\ndata: piece " + id + "\n\n");
    }

    static byte[] chunk(String text) {
        return (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes();
    }

    static byte[] lastChunk() {
        return "0\r\n\r\n".getBytes();
    }
}
