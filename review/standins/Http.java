import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Reading and writing of HTTP/1.1 messages on blocking streams. Stateless and thread-safe. */
final class Http {
    private Http() {}

    /** A message whose body has been read. {@code complete} is false if the body was cut. */
    record Message(
            String startLine, Map<String, String> headers, byte[] body, boolean complete) {
        Optional<String> header(String name) {
            return Optional.ofNullable(headers.get(name));
        }

        /** Returns a header by its key in the list of the platform's names. */
        Optional<String> field(String key) {
            return header(Wire.name(key));
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a request; returns empty if the connection ended before its first byte. */
    static Optional<Message> readRequest(BufferedInputStream in) throws IOException {
        String start = readLine(in);
        if (start == null) {
            return Optional.empty();
        }
        Map<String, String> headers = readHeaders(in);
        return Optional.of(new Message(start, headers, readBody(in, headers, false), true));
    }

    /** Reads a response, and its body as far as it arrives. */
    static Message readResponse(BufferedInputStream in) throws IOException {
        String start = readLine(in);
        while (start != null && start.contains(" 100 ")) {
            readHeaders(in);
            start = readLine(in);
        }
        if (start == null) {
            throw new EOFException("connection ended without a response");
        }
        Map<String, String> headers = readHeaders(in);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete;
        try {
            complete = copyBody(in, headers, true, body);
        } catch (IOException e) {
            complete = false;
        }
        return new Message(start, headers, body.toByteArray(), complete);
    }

    private static byte[] readBody(
            BufferedInputStream in, Map<String, String> headers, boolean untilEnd)
            throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (!copyBody(in, headers, untilEnd, body)) {
            throw new EOFException("connection ended within a body");
        }
        return body.toByteArray();
    }

    private static boolean copyBody(
            InputStream in, Map<String, String> headers, boolean untilEnd, ByteArrayOutputStream to)
            throws IOException {
        if (headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
            return copyChunks(in, to);
        }
        if (headers.containsKey("Content-Length")) {
            return copy(in, Long.parseLong(headers.get("Content-Length")), to);
        }
        return !untilEnd || copy(in, Long.MAX_VALUE, to) || true;
    }

    private static boolean copyChunks(InputStream in, ByteArrayOutputStream to)
            throws IOException {
        while (true) {
            String size = readLine(in);
            if (size == null) {
                return false;
            }
            int length = Integer.parseInt(size.split(";")[0].trim(), 16);
            if (!copy(in, length, to)) {
                return false;
            }
            if (readLine(in) == null) {
                return false;
            }
            if (length == 0) {
                return true;
            }
        }
    }

    private static boolean copy(InputStream in, long length, ByteArrayOutputStream to)
            throws IOException {
        byte[] buffer = new byte[16 * 1024];
        long left = length;
        while (left > 0) {
            int read = in.read(buffer, 0, (int) Math.min(buffer.length, left));
            if (read < 0) {
                return false;
            }
            to.write(buffer, 0, read);
            left -= read;
        }
        return true;
    }

    private static Map<String, String> readHeaders(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        String line = readLine(in);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
            line = readLine(in);
        }
        return headers;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the bytes of a response with a body of known length. */
    static byte[] response(int status, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        return join(head.toString().getBytes(StandardCharsets.ISO_8859_1), body);
    }

    static byte[] join(byte[] first, byte[] second) {
        byte[] all = java.util.Arrays.copyOf(first, first.length + second.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }
}
