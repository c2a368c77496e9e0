import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {
    private Http() {}

    /** A request or a response; {@code start} is its first line. */
    static final class Message {
        String start;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String method() {
            return start.split(" ")[0];
        }

        String target() {
            return start.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                throw new EOFException("end of connection");
            }
            if (b == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(b);
        }
    }

    /** Reads the first line and the headers. */
    static Message readHead(InputStream in) throws IOException {
        return readHeaders(in, readLine(in));
    }

    private static Message readHeaders(InputStream in, String start) throws IOException {
        Message message = new Message();
        message.start = start;
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads a whole message; a body has a length or comes in chunks. */
    static Message read(InputStream in) throws IOException {
        return readBody(in, readHead(in));
    }

    /** Reads the rest of a message whose first line was read. */
    static Message readAfterStart(InputStream in, String start) throws IOException {
        return readBody(in, readHeaders(in, start));
    }

    private static Message readBody(InputStream in, Message message) throws IOException {
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                body.write(readBytes(in, size));
                readLine(in);
                if (size == 0) {
                    break;
                }
            }
            message.body = body.toByteArray();
        } else if (message.header("content-length") != null) {
            message.body = readBytes(in, Integer.parseInt(message.header("content-length")));
        }
        return message;
    }

    private static byte[] readBytes(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("body ends early");
        }
        return bytes;
    }

    static void write(OutputStream out, String head, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        out.write(bytes.toByteArray());
        out.flush();
    }
}
