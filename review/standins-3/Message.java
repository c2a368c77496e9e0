import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** An HTTP/1.1 message as it was read from a socket: its first line, its fields and its body. */
record Message(String firstLine, List<String[]> fields, byte[] body) {
    /** Returns the first field of that name, null if there is none. */
    String field(String name) {
        return fields.stream()
                .filter(f -> f[0].equalsIgnoreCase(name))
                .map(f -> f[1])
                .findFirst()
                .orElse(null);
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    /** Reads a message; returns null if the connection ends before its first byte. */
    static Message read(BufferedInputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        List<String[]> fields = new ArrayList<>();
        for (String line = line(in); !"".equals(line); line = line(in)) {
            if (line == null) {
                throw new EOFException("the head is incomplete");
            }
            int colon = line.indexOf(':');
            fields.add(
                    new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
        Message head = new Message(first, fields, new byte[0]);
        return new Message(first, fields, head.readBody(in));
    }

    private byte[] readBody(BufferedInputStream in) throws IOException {
        String length = field("Content-Length");
        if (length != null) {
            return exactly(in, Integer.parseInt(length));
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(field("Transfer-Encoding"))) {
            for (int n = chunkSize(in); n > 0; n = chunkSize(in)) {
                body.write(exactly(in, n));
                line(in);
            }
            line(in);
        }
        return body.toByteArray();
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            throw new EOFException("the body is incomplete");
        }
        return Integer.parseInt(line.split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the body is incomplete");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0 && line.size() == 0) {
                return null;
            }
            if (b < 0) {
                throw new EOFException("a line is incomplete");
            }
            line.write(b);
        }
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
    }
}
