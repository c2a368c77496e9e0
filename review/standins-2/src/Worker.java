import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A stand-in for a worker, which leaves the answers to a handler. */
final class Worker {
    /** Answers one request. */
    interface Handler {
        void handle(Worker worker, Http.Message request, Socket socket, OutputStream out)
                throws IOException, InterruptedException;
    }

    private final String mId;
    private final String mService;
    private final String mModels;
    private final Handler mHandler;
    private final ServerSocket mListener;
    private final long mBorn = System.currentTimeMillis();
    private int mSeq;

    /** {@code models} is the JSON of its models, empty for a plain service. */
    Worker(String id, String service, String models, Handler handler) throws IOException {
        mId = id;
        mService = service;
        mModels = models;
        mHandler = handler;
        mListener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Store.daemon(this::accept);
    }

    String id() {
        return mId;
    }

    String address() {
        return "127.0.0.1:" + mListener.getLocalPort();
    }

    void register(Store store, String state) {
        mSeq++;
        String models = mModels.isEmpty() ? "" : ",\"phase\":\"both\",\"models\":" + mModels;
        store.put(
                "servers",
                mId,
                "{\"service\":\""
                        + mService
                        + "\",\"addr\":\""
                        + address()
                        + "\",\"zone\":\"ne-a\",\"version\":\"v1\",\"slots\":64,\"state\":\""
                        + state
                        + "\",\"cold-left-ms\":0,\"seq\":"
                        + mSeq
                        + ",\"born\":"
                        + mBorn
                        + models
                        + "}");
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = mListener.accept();
                socket.setTcpNoDelay(true);
                Store.daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // The process ends.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 65536);
            while (true) {
                Http.Message request = Http.read(in);
                mHandler.handle(this, request, socket, socket.getOutputStream());
            }
        } catch (IOException | InterruptedException e) {
            // The caller has left.
        }
    }

    /** Sends a whole answer to a request. */
    void answer(Http.Message request, OutputStream out, String status, String headers, byte[] body)
            throws IOException {
        String id = request.header(Names.of("request-id"));
        String seal =
                id == null
                        ? ""
                        : Names.of("request-id") + ": " + id + "\r\n"
                                + Names.of("seal") + ": s." + id + "\r\n";
        Http.write(
                out,
                "HTTP/1.1 "
                        + status
                        + "\r\n"
                        + seal
                        + Names.of("instance")
                        + ": "
                        + mId
                        + "\r\n"
                        + headers
                        + "Content-Length: "
                        + body.length
                        + "\r\n\r\n",
                body);
    }
}
