package org.catkinproxy.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Example;

import org.catkinproxy.id.AttemptId;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.IdempotencyKey;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.orders.HttpEngineControl;
import org.catkinproxy.orders.OrderTarget;
import org.catkinproxy.platform.HttpObjectStore;
import org.catkinproxy.platform.PlatformClient;
import org.catkinproxy.service.CallStatus;
import org.catkinproxy.service.OkHttpServiceClient;
import org.catkinproxy.service.SendResult;
import org.catkinproxy.service.ServiceRequest;
import org.catkinproxy.stream.ConnectionFailure;
import org.catkinproxy.stream.StreamEvent;
import org.catkinproxy.upstream.EngineEndpoint;
import org.catkinproxy.upstream.EngineTimeouts;
import org.catkinproxy.upstream.HttpEngineClient;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Engines and a platform that send bytes without end, to the clients of the daemon.
 *
 * <p>A server here sends more than any limit of a client, so a connection that the client closes
 * before that shows a limit.
 */
class EndlessUpstreamTest {
    private static final long ENOUGH_BYTES = 192L * 1024 * 1024;
    private static final int BLOCK_BYTES = 64 * 1024;
    private static final int TIMEOUT_MILLIS = 60_000;
    private static final IdempotencyKey KEY = IdempotencyKey.of("k1");
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String CHUNKED = OK + "Transfer-Encoding: chunked\r\n\r\n";

    /** What a response begins with, and what follows without end. */
    private record Endless(String start, String unit) {}

    private static final List<Endless> RESPONSES =
            List.of(
                    new Endless("HTTP/1.1 200 ", "a"),
                    new Endless(OK + "X-Long: ", "a"),
                    new Endless(OK, "A: b\r\n"),
                    new Endless(OK + "\r\n", "a"),
                    new Endless(CHUNKED, "1\r\na\r\n"),
                    new Endless(CHUNKED + "1;", "a"),
                    new Endless(CHUNKED + "1\r\na\r\n", "0"),
                    new Endless(CHUNKED + "0\r\n", "A: b\r\n"));

    /** A server that sends one endless response on each connection. */
    private static final class EndlessServer implements AutoCloseable {
        private final ServerSocket mListener =
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final CompletableFuture<Boolean> mClosedByClient = new CompletableFuture<>();
        private final AtomicLong mSentBytes = new AtomicLong();
        private final Endless mResponse;

        EndlessServer(Endless response) throws IOException {
            mResponse = response;
            startThread(this::accept);
        }

        String address() {
            return "127.0.0.1:" + mListener.getLocalPort();
        }

        private static void startThread(Runnable task) {
            Thread thread = new Thread(task, "endless server");
            thread.setDaemon(true);
            thread.start();
        }

        private void accept() {
            while (!mListener.isClosed()) {
                try {
                    Socket socket = mListener.accept();
                    startThread(() -> serve(socket));
                } catch (IOException e) {
                    // The test has ended.
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = socket.getInputStream();
                in.read(new byte[BLOCK_BYTES]);
                OutputStream out = socket.getOutputStream();
                out.write(bytes(mResponse.start()));
                String unit = mResponse.unit();
                byte[] block = bytes(unit.repeat(BLOCK_BYTES / unit.length()));
                while (mSentBytes.get() < ENOUGH_BYTES) {
                    out.write(block);
                    mSentBytes.addAndGet(block.length);
                }
                mClosedByClient.complete(false);
            } catch (IOException e) {
                mClosedByClient.complete(true);
            }
        }

        private static byte[] bytes(String text) {
            return text.getBytes(StandardCharsets.US_ASCII);
        }

        void assertClosedByClient() throws Exception {
            boolean closed = mClosedByClient.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            assertWithMessage("%s, %s bytes", mResponse, mSentBytes).that(closed).isTrue();
        }

        @Override
        public void close() throws IOException {
            mListener.close();
        }
    }

    /** A call to the server at an address that throws if it fails. */
    private interface Client {
        void call(String address) throws Exception;
    }

    private static void assertLimits(Client client) throws Exception {
        for (Endless response : RESPONSES) {
            try (EndlessServer server = new EndlessServer(response)) {
                boolean failed = false;
                try {
                    client.call(server.address());
                } catch (RuntimeException e) {
                    failed = true;
                }
                assertWithMessage(response.toString()).that(failed).isTrue();
                server.assertClosedByClient();
            }
        }
    }

    private static HttpEngineClient engines() {
        return HttpEngineClient.create(
                new EngineTimeouts(TIMEOUT_MILLIS, TIMEOUT_MILLIS, TIMEOUT_MILLIS));
    }

    private static EngineEndpoint engine(String address) {
        return new EngineEndpoint(EngineId.of("e1"), address, PoolId.of("p1"), false);
    }

    /** A request to a service, and the question whether it was done. */
    @Example
    void responseOfService() throws Exception {
        OkHttpServiceClient client = OkHttpServiceClient.create();
        Duration timeout = Duration.ofMillis(TIMEOUT_MILLIS);
        assertLimits(
                address -> {
                    ServiceRequest request =
                            new ServiceRequest(
                                    address,
                                    "GET",
                                    "/",
                                    "text/plain",
                                    new byte[0],
                                    KEY,
                                    AttemptId.of("a1"),
                                    timeout);
                    assertThat(client.send(request).blockingGet())
                            .isInstanceOf(SendResult.ResponseLost.class);
                    throw new IllegalStateException("the response is lost");
                });
        assertLimits(
                address -> {
                    assertThat(client.queryStatus(address, KEY, timeout).blockingGet())
                            .isEqualTo(CallStatus.UNKNOWN);
                    throw new IllegalStateException("the status is unknown");
                });
    }

    /** Guards against reading the report of an engine until the memory is used up. */
    @Example
    void reportOfEngine() throws Exception {
        assertLimits(address -> engines().load(engine(address)).blockingGet());
    }

    @Example
    void cacheEventsOfEngine() throws Exception {
        assertLimits(address -> engines().cacheEvents(engine(address), 0).blockingSubscribe());
    }

    @Example
    void streamOfEngine() throws Exception {
        assertLimits(
                address -> {
                    StreamEvent last =
                            engines()
                                    .resume(engine(address), RequestId.of("r1"), 1, 0)
                                    .blockingLast();
                    assertThat(last).isInstanceOf(StreamEvent.ConnectionFailed.class);
                    assertThat(((StreamEvent.ConnectionFailed) last).failure())
                            .isNotEqualTo(ConnectionFailure.SILENT);
                    throw new IllegalStateException("the stream has failed");
                });
    }

    @Example
    void stateOfEngineForOrders() throws Exception {
        HttpEngineControl control = HttpEngineControl.create(Duration.ofMillis(TIMEOUT_MILLIS));
        assertLimits(
                address ->
                        control.state(new OrderTarget(EngineId.of("e1"), address)).blockingGet());
    }

    @Example
    void objectOfPlatform() throws Exception {
        assertLimits(
                address -> {
                    PlatformClient client =
                            PlatformClient.create(
                                    "http://" + address, Duration.ofMillis(TIMEOUT_MILLIS));
                    HttpObjectStore.create(client).get("a").blockingGet();
                });
    }
}
