import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** A client that sends one request on a new connection. Immutable and thread-safe. */
final class Client {
    private final Record mRecord;

    Client(Record record) {
        mRecord = record;
    }

    /** Headers of a request, beside those that every request has. */
    static Map<String, String> headers(String... namesAndValues) {
        Map<String, String> headers = new TreeMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) {
            headers.put(namesAndValues[i], namesAndValues[i + 1]);
        }
        return headers;
    }

    /** Sends a request and returns the answer; empty if the connection ended without one. */
    Optional<Http.Message> send(
            int port,
            String id,
            String method,
            String path,
            long deadlineMillis,
            Map<String, String> headers,
            byte[] body) {
        mRecord.add("client sends %s %s (request %s)", method, path, id);
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout((int) deadlineMillis + 2_000);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            head.append("Host: h\r\n");
            head.append(Wire.name("request-id") + ": " + id + "\r\n");
            head.append(Wire.name("deadline-ms") + ": " + deadlineMillis + "\r\n");
            headers.forEach((k, v) -> head.append(k + ": " + v + "\r\n"));
            if (body.length > 0 || method.equals("POST")) {
                head.append("Content-Length: " + body.length + "\r\n");
            }
            head.append("\r\n");
            socket.getOutputStream().write(Http.join(head.toString().getBytes(), body));
            Http.Message answer =
                    Http.readResponse(new BufferedInputStream(socket.getInputStream()));
            mRecord.add(
                    "client has  %s, %s (request %s)",
                    answer.startLine(),
                    answer.complete() ? "complete" : "cut off",
                    id);
            return Optional.of(answer);
        } catch (IOException e) {
            mRecord.add("client has  no answer: %s (request %s)", e.getMessage(), id);
            return Optional.empty();
        }
    }
}
