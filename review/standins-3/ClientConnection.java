import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client's connection, kept open for several requests. Used by one thread. */
final class ClientConnection implements AutoCloseable {
    private final Socket mSocket = new Socket();
    private final BufferedInputStream mIn;
    private final OutputStream mOut;

    ClientConnection(GatewayProcess gateway, int answerTimeoutMillis) throws IOException {
        mSocket.setTcpNoDelay(true);
        mSocket.connect(new InetSocketAddress(gateway.ip(), gateway.front()), 1_000);
        mSocket.setSoTimeout(answerTimeoutMillis);
        mIn = new BufferedInputStream(mSocket.getInputStream());
        mOut = mSocket.getOutputStream();
    }

    OutputStream out() {
        return mOut;
    }

    void write(String text) throws IOException {
        mOut.write(text.getBytes(StandardCharsets.ISO_8859_1));
        mOut.flush();
    }

    /** Reads an answer, null if the connection ended before its first byte. */
    Message read() throws IOException {
        return Message.read(mIn);
    }

    /** Reads a line without its end, null if the connection ended before that. */
    String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = mIn.read(); b >= 0; b = mIn.read()) {
            if (b == '\n') {
                return line.toString().trim();
            }
            line.append((char) b);
        }
        return null;
    }

    static String head(String method, String host, String path, String id, long deadlineMillis) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n"
                + Names.of("request-id") + ": " + id + "\r\n"
                + Names.of("deadline") + ": " + deadlineMillis + "\r\n"
                + "Authorization: Bearer key-1\r\n";
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
