import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;

/** One connection of a client. */
final class Client implements Closeable {
    private final Socket mSocket;
    private final InputStream mIn;

    Client(int port, int timeoutMillis) throws IOException {
        mSocket = new Socket("127.0.0.1", port);
        mSocket.setTcpNoDelay(true);
        mSocket.setSoTimeout(timeoutMillis);
        mIn = new BufferedInputStream(mSocket.getInputStream());
    }

    void send(String head, byte[] body) throws IOException {
        Http.write(mSocket.getOutputStream(), head, body);
    }

    Http.Message receive() throws IOException {
        return Http.read(mIn);
    }

    InputStream in() {
        return mIn;
    }

    Socket socket() {
        return mSocket;
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
