import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** What the model workers of the cases have in common. */
final class Engines {
    /** A desired state with one route of streams that may be resumed, and its service. */
    static final String CONFIG =
            "{\"version\":7,\"routes\":["
                + "{\"name\":\"r1\",\"host\":\"a.example\",\"prefix\":\"/check/\","
                + "\"kind\":\"stream\",\"timeout-ms\":6000,\"goal-ms\":600,\"priority\":1,"
                + "\"service\":\"models\",\"attempts\":2,\"public\":false,\"sticky\":true,"
                + "\"resumable\":true,\"gap-target-ms\":250}],"
                + "\"services\":[{\"name\":\"models\",\"health-path\":\"/healthz\","
                + "\"max-conns\":360,\"protocol\":\"h1\",\"tls\":false,"
                + "\"engine\":{\"slots\":64,\"kv-capacity\":106752,\"kv-token-bytes\":163840,"
                + "\"link-mbps\":180000.0,\"max-inflight\":12,"
                + "\"models\":[{\"name\":\"m0\"}]}}],"
                + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
                + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
                + "\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"key-1\"],\"priority\":1,"
                + "\"isolated\":false}]}";

    /** The same with streams that may not be resumed, at one worker each. */
    static final String UNREPEATABLE_CONFIG =
            CONFIG.replace("\"resumable\":true", "\"resumable\":false")
                    .replace("\"attempts\":2", "\"attempts\":1")
                    .replace("\"timeout-ms\":6000", "\"timeout-ms\":15000")
                    .replace("\"goal-ms\":600", "\"goal-ms\":300")
                    .replace("\"priority\":1,\"service\"", "\"priority\":0,\"service\"")
                    .replace(
                            "\"max-inflight\":12,",
                            "\"moves\":true,\"backups\":true,\"handle_s\":5.0,"
                                    + "\"max-inflight\":12,");

    /** The fields that a model worker's entry in the store has beside those of every worker. */
    static final String ENTRY =
            ",\"phase\":\"both\","
                    + "\"models\":[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]";

    private static final String JSON = "Content-Type: application/json\r\n";
    private static final long EVENTS_WAIT_MILLIS = 500;

    private Engines() {}

    /** Answers a call for the worker's report or its cache events; returns whether it was one. */
    static boolean answerControl(Message request, OutputStream out)
            throws IOException, InterruptedException {
        if (request.firstLine().contains(Names.of("kv-events"))) {
            Thread.sleep(EVENTS_WAIT_MILLIS);
            String events = "{\"boot-epoch\":1,\"next\":0,\"lost\":false,\"events\":[]}";
            WorkerStandin.answer(request, out, 200, JSON, events);
            return true;
        }
        if (request.firstLine().contains(Names.of("report"))) {
            String report =
                    "{\"phase\":\"both\",\"models\":[{\"name\":\"m0\",\"version\":1,"
                            + "\"adapters\":[]}],\"busy\":false,\"seq\":0}";
            WorkerStandin.answer(request, out, 200, JSON, report);
            return true;
        }
        return false;
    }

    static void startStream(Message request, OutputStream out) throws IOException {
        write(
                out,
                "HTTP/1.1 200 OK\r\n" + Names.of("request-id") + ": "
                        + request.field(Names.of("request-id")) + "\r\n"
                        + Names.of("seal") + ": seal\r\n" + Names.of("versions") + ": 1\r\n"
                        + "Content-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
    }

    static void writeEvent(OutputStream out, long id, String data) throws IOException {
        String event = "id: " + id + "\ndata: " + data + "\n\n";
        write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
    }

    static void endStream(OutputStream out) throws IOException {
        write(out, "0\r\n\r\n");
    }

    /** Returns the fields of a request for a model, which end its head but for the length. */
    static String promptFields(String tokens, String parts) {
        return Names.of("model") + ": m0\r\n" + Names.of("tokens") + ": " + tokens + "\r\n"
                + Names.of("prefix") + ": " + parts + "\r\n";
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
