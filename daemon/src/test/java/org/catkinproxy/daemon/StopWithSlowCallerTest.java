package org.catkinproxy.daemon;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

import org.catkinproxy.standin.engine.EngineOptions;

import io.reactivex.rxjava3.disposables.Disposable;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** A planned stop while a caller still reads a long response of a service. */
class StopWithSlowCallerTest {
    private static final int BODY_BYTES = 6 * 1024 * 1024;
    private static final int SMALL_WINDOW_BYTES = 16 * 1024;
    private static final int PART_BYTES = 32 * 1024;
    private static final long PAUSE_MILLIS = 40;
    private static final long PATIENCE_SECONDS = 60;

    private final CountDownLatch mResponded = new CountDownLatch(1);

    /** Answers requests for the service with a long body. */
    private void serve(ServerSocket listener) {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                BufferedReader in =
                        new BufferedReader(
                                new InputStreamReader(
                                        socket.getInputStream(), StandardCharsets.ISO_8859_1));
                String key = "";
                for (String line = in.readLine(); !line.isEmpty(); line = in.readLine()) {
                    if (line.toLowerCase().startsWith("idempotency-key:")) {
                        key = line;
                    }
                }
                OutputStream out = socket.getOutputStream();
                out.write(
                        ("HTTP/1.1 200 OK\r\n"
                                        + key
                                        + "\r\nContent-Length: "
                                        + BODY_BYTES
                                        + "\r\nConnection: close\r\n\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
                out.write(new byte[BODY_BYTES]);
                mResponded.countDown();
            } catch (IOException e) {
                // The test has ended, or the daemon has closed the connection.
                continue;
            }
        }
    }

    private static int readSlowly(InputStream in) throws IOException, InterruptedException {
        int bytes = 0;
        try {
            byte[] part = new byte[PART_BYTES];
            int read = in.readNBytes(part, 0, PART_BYTES);
            while (read > 0) {
                bytes += read;
                Thread.sleep(PAUSE_MILLIS);
                read = in.readNBytes(part, 0, PART_BYTES);
            }
        } catch (SocketException e) {
            // The connection was reset; what was read until then is what the caller got.
            return bytes;
        }
        return bytes;
    }

    /** Guards against ending the process with a response that is not written to its caller. */
    @Example
    void responseIsWrittenBeforeTheStopEnds() throws Exception {
        try (TestCluster cluster = TestCluster.start(1, 1, EngineOptions.DEFAULT);
                ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                Socket caller = new Socket()) {
            Thread service = new Thread(() -> serve(listener), "service");
            service.setDaemon(true);
            service.start();
            cluster.register("register-0", "service", "127.0.0.1:" + listener.getLocalPort());
            // The daemon reads the list of instances at intervals.
            Thread.sleep(TimeUnit.SECONDS.toMillis(3));
            Daemon daemon = cluster.daemon(0);
            caller.setReceiveBufferSize(SMALL_WINDOW_BYTES);
            caller.connect(daemonAddress(daemon));
            caller.getOutputStream()
                    .write(
                            ("GET /services/register/long HTTP/1.1\r\nHost: h\r\n"
                                            + "Connection: close\r\nAuthorization: Bearer "
                                            + TestCluster.KEY_LARGE
                                            + "\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
            assertThat(mResponded.await(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
            daemon.stop();
            Disposable end = daemon.left().subscribe(daemon::close);
            int bytes = readSlowly(caller.getInputStream());
            assertThat(bytes).isAtLeast(BODY_BYTES);
            assertThat(daemon.left().blockingAwait(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
            end.dispose();
        }
    }

    private static java.net.InetSocketAddress daemonAddress(Daemon daemon) {
        return new java.net.InetSocketAddress(
                InetAddress.getLoopbackAddress(), daemon.callerPort());
    }
}
