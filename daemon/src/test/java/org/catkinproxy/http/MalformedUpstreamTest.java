package org.catkinproxy.http;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Example;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.orders.HttpEngineControl;
import org.catkinproxy.orders.OrderTarget;
import org.catkinproxy.platform.HttpObjectStore;
import org.catkinproxy.platform.PlatformClient;
import org.catkinproxy.stream.StreamEvent;
import org.catkinproxy.upstream.EngineEndpoint;
import org.catkinproxy.upstream.EngineTimeouts;
import org.catkinproxy.upstream.HttpEngineClient;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

/**
 * Engines and a platform whose responses have a head that deviates from the protocol.
 *
 * <p>Each client is given the same body with a sound head first, which it accepts.
 */
class MalformedUpstreamTest {
    private static final int TIMEOUT_MILLIS = 20_000;
    private static final int REQUEST_BYTES = 64 * 1024;
    private static final String OK = "HTTP/1.1 200 OK\r\nConnection: close\r\n";

    /** Lines of a head, in which {@code %d} stands for the length of the body. */
    private static final String SOUND = "Content-Length: %d\r\n";

    private static final List<String> MALFORMED =
            List.of(
                    SOUND + "X Bad: 1\r\n",
                    SOUND + "X\u0001Bad: 1\r\n",
                    SOUND + "X-Bad: \u0001\r\n",
                    "Content-Length : %d\r\n",
                    SOUND + "Content-Length: %<d\r\n",
                    "Transfer-Encoding: other\r\n");

    /** A call to the server at an address. */
    private interface Client {
        /** Returns whether the client has taken the response for one. */
        boolean accepts(String address);
    }

    /** Writes one response on each connection and closes it. */
    private static void serve(ServerSocket listener, String response) {
        while (!listener.isClosed()) {
            try (Socket socket = listener.accept()) {
                InputStream in = socket.getInputStream();
                in.read(new byte[REQUEST_BYTES]);
                socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                // The client has closed the connection, or the test has ended.
                continue;
            }
        }
    }

    private static boolean accepts(Client client, String head, String body) throws IOException {
        String response = OK + head.formatted(body.length()) + "\r\n" + body;
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
            Thread server = new Thread(() -> serve(listener, response), "malformed server");
            server.setDaemon(true);
            server.start();
            return client.accepts("127.0.0.1:" + listener.getLocalPort());
        }
    }

    private static void assertRejectsMalformed(Client client, String body) throws IOException {
        assertThat(accepts(client, SOUND, body)).isTrue();
        for (String head : MALFORMED) {
            assertWithMessage(head).that(accepts(client, head, body)).isFalse();
        }
    }

    private static boolean succeeds(Runnable call) {
        try {
            call.run();
            return true;
        } catch (RuntimeException e) {
            return false;
        }
    }

    private static HttpEngineClient engines() {
        return HttpEngineClient.create(
                new EngineTimeouts(TIMEOUT_MILLIS, TIMEOUT_MILLIS, TIMEOUT_MILLIS));
    }

    private static EngineEndpoint engine(String address) {
        return new EngineEndpoint(EngineId.of("e1"), address, PoolId.of("p1"), false);
    }

    @Example
    void reportOfEngine() throws Exception {
        assertRejectsMalformed(
                address -> succeeds(() -> engines().load(engine(address)).blockingGet()),
                "{\"incarnation\":\"i1\",\"slots\":1,\"prefillTokensPerSecond\":1,"
                        + "\"decodeTokensPerSecond\":1}");
    }

    @Example
    void streamOfEngine() throws Exception {
        assertRejectsMalformed(
                address -> {
                    StreamEvent last =
                            engines()
                                    .resume(engine(address), RequestId.of("r1"), 1, 0)
                                    .blockingLast();
                    return !(last instanceof StreamEvent.ConnectionFailed);
                },
                "{\"type\":\"end\",\"request\":\"r1\",\"count\":0}\n");
    }

    @Example
    void stateOfEngineForOrders() throws Exception {
        HttpEngineControl control = HttpEngineControl.create(Duration.ofMillis(TIMEOUT_MILLIS));
        assertRejectsMalformed(
                address ->
                        succeeds(
                                () ->
                                        control.state(new OrderTarget(EngineId.of("e1"), address))
                                                .blockingGet()),
                "{\"fencing\":1,\"weights\":[]}");
    }

    @Example
    void objectOfPlatform() throws Exception {
        assertRejectsMalformed(
                address ->
                        succeeds(
                                () ->
                                        HttpObjectStore.create(
                                                        PlatformClient.create(
                                                                "http://" + address,
                                                                Duration.ofMillis(TIMEOUT_MILLIS)))
                                                .get("a")
                                                .blockingGet()),
                "object");
    }
}
