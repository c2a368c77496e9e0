package org.catkinproxy.service;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Example;

import org.catkinproxy.call.CallResponse;
import org.catkinproxy.id.AttemptId;
import org.catkinproxy.id.IdempotencyKey;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

/**
 * Checks on real sockets that no request is sent twice and that no invalid response is accepted.
 */
class OkHttpServiceClientTest {
    private static final IdempotencyKey KEY = IdempotencyKey.of("k1");
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);
    private static final String KEY_HEADER_LINE = "Idempotency-Key: k1\r\n";

    private final ServiceClient mClient = OkHttpServiceClient.create();

    @Example
    void returnsWholeResponse() throws IOException {
        try (FixedResponseServer server =
                FixedResponseServer.respondingWith(httpResponse("201 Created", KEY_HEADER_LINE))) {
            SendResult result = send(server.address(), "POST", LONG_TIMEOUT);
            CallResponse response =
                    new CallResponse(201, "", "done".getBytes(StandardCharsets.UTF_8));
            assertThat(result).isEqualTo(new SendResult.Responded(response));
            String request = server.requests().get(0);
            assertThat(request).startsWith("POST /filings?x=1 HTTP/1.1\n");
            assertThat(request).contains("Idempotency-Key: k1\n");
            assertThat(request).contains("Catkin-Attempt: a1\n");
            assertThat(request).endsWith("\n\nbody");
        }
    }

    @Example
    void sendsOnceForStatusesThatAskForRetry() throws IOException {
        List<String> responses =
                List.of(
                        httpResponse("408 Request Timeout", KEY_HEADER_LINE),
                        httpResponse(
                                "503 Service Unavailable", KEY_HEADER_LINE + "Retry-After: 0\r\n"),
                        httpResponse("421 Misdirected Request", KEY_HEADER_LINE),
                        httpResponse(
                                "307 Temporary Redirect",
                                KEY_HEADER_LINE + "Location: /elsewhere\r\n"),
                        httpResponse(
                                "308 Permanent Redirect",
                                KEY_HEADER_LINE + "Location: /elsewhere\r\n"),
                        httpResponse(
                                "401 Unauthorized",
                                KEY_HEADER_LINE + "WWW-Authenticate: Basic\r\n"));
        for (String response : responses) {
            for (String method : List.of("POST", "GET", "DELETE")) {
                try (FixedResponseServer server = FixedResponseServer.respondingWith(response)) {
                    SendResult result = send(server.address(), method, LONG_TIMEOUT);
                    assertWithMessage(response)
                            .that(result)
                            .isInstanceOf(SendResult.Responded.class);
                    assertWithMessage(method + response).that(server.requests()).hasSize(1);
                }
            }
        }
    }

    @Example
    void connectionClosedWithoutResponseIsNotRetried() throws IOException {
        try (FixedResponseServer server = FixedResponseServer.respondingWith("")) {
            SendResult result = send(server.address(), "POST", LONG_TIMEOUT);
            assertThat(result).isInstanceOf(SendResult.ResponseLost.class);
            assertThat(server.requests()).hasSize(1);
        }
    }

    @Example
    void opensNewConnectionForEachRequest() throws IOException {
        String keepAliveResponse =
                httpResponse("200 OK", KEY_HEADER_LINE + "Connection: keep-alive\r\n");
        try (FixedResponseServer server = FixedResponseServer.respondingWith(keepAliveResponse)) {
            for (int i = 0; i < 3; i++) {
                SendResult result = send(server.address(), "POST", LONG_TIMEOUT);
                assertThat(result).isInstanceOf(SendResult.Responded.class);
            }
            assertThat(server.requests()).hasSize(3);
            assertThat(server.connectionCount()).isEqualTo(3);
        }
    }

    @Example
    void timeoutCountsAsLostResponse() throws IOException {
        try (FixedResponseServer server =
                FixedResponseServer.respondingWith(FixedResponseServer.NO_RESPONSE)) {
            SendResult result = send(server.address(), "POST", SHORT_TIMEOUT);
            assertThat(result).isInstanceOf(SendResult.ResponseLost.class);
            assertThat(server.requests()).hasSize(1);
        }
    }

    @Example
    void responseWithOtherOrMissingKeyIsDiscarded() throws IOException {
        for (String header : List.of("Idempotency-Key: k2\r\n", "")) {
            try (FixedResponseServer server =
                    FixedResponseServer.respondingWith(httpResponse("200 OK", header))) {
                SendResult result = send(server.address(), "POST", LONG_TIMEOUT);
                assertThat(result).isInstanceOf(SendResult.ResponseLost.class);
            }
        }
    }

    /** Guards against an answer that a service in trouble did not give. */
    @Example
    void malformedResponseIsDiscarded() throws IOException {
        String length = "Content-Length: 4\r\n";
        List<String> heads =
                List.of(
                        "HTTP/1.1 000 Odd\r\n" + KEY_HEADER_LINE + length,
                        "HTTP/1.1 099 Odd\r\n" + KEY_HEADER_LINE + length,
                        "HTTP/1.1 600 Odd\r\n" + KEY_HEADER_LINE + length,
                        "HTTP/1.1 -20 Odd\r\n" + KEY_HEADER_LINE + length,
                        "HTTP/2.0 200 OK\r\n" + KEY_HEADER_LINE + length,
                        "HTTP/1.1 200 OK\r\n" + KEY_HEADER_LINE + length + "X Bad: 1\r\n",
                        "HTTP/1.1 200 OK\r\n" + KEY_HEADER_LINE + length + "X\u0001Bad: 1\r\n",
                        "HTTP/1.1 200 OK\r\n" + KEY_HEADER_LINE + length + "X-Bad: \u0001\r\n",
                        "HTTP/1.1 200 OK\r\n" + KEY_HEADER_LINE + "Content-Length : 2\r\n",
                        "HTTP/1.1 200 OK\r\n" + KEY_HEADER_LINE + length + length,
                        "HTTP/1.1 200 OK\r\n" + KEY_HEADER_LINE + "Transfer-Encoding: other\r\n",
                        "HTTP/1.1 200 OK\r\n" + KEY_HEADER_LINE);
        for (String head : heads) {
            try (FixedResponseServer server =
                    FixedResponseServer.respondingWith(head + "\r\ndone")) {
                SendResult result = send(server.address(), "POST", LONG_TIMEOUT);
                assertWithMessage(head).that(result).isInstanceOf(SendResult.ResponseLost.class);
            }
        }
    }

    @Example
    void truncatedResponseIsDiscarded() throws IOException {
        String truncated =
                "HTTP/1.1 200 OK\r\n" + KEY_HEADER_LINE + "Content-Length: 9\r\n\r\nhalf";
        try (FixedResponseServer server = FixedResponseServer.respondingWith(truncated)) {
            SendResult result = send(server.address(), "POST", LONG_TIMEOUT);
            assertThat(result).isInstanceOf(SendResult.ResponseLost.class);
        }
    }

    @Example
    void refusedConnectionCountsAsNotSent() throws IOException {
        String address;
        try (ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = "127.0.0.1:" + closed.getLocalPort();
        }
        SendResult result = send(address, "POST", LONG_TIMEOUT);
        assertThat(result).isInstanceOf(SendResult.NotConnected.class);
    }

    @Example
    void statusWithOtherKeyIsDiscarded() throws IOException {
        assertThat(status("k1", "done").response().get().status()).isEqualTo(201);
        assertThat(status("k2", "done")).isEqualTo(CallStatus.UNKNOWN);
        assertThat(status("k1", "none")).isEqualTo(CallStatus.UNKNOWN);
    }

    private CallStatus status(String key, String status) throws IOException {
        String json =
                "{\"key\":\"%s\",\"status\":\"%s\",\"answer\":{\"status\":201,\"body\":\"x\"}}"
                        .formatted(key, status);
        String response = "HTTP/1.1 200 OK\r\nContent-Length: " + json.length() + "\r\n\r\n" + json;
        try (FixedResponseServer server = FixedResponseServer.respondingWith(response)) {
            return mClient.queryStatus(server.address(), KEY, LONG_TIMEOUT).blockingGet();
        }
    }

    private SendResult send(String address, String method, Duration timeout) {
        ServiceRequest request =
                new ServiceRequest(
                        address,
                        method,
                        "/filings?x=1",
                        "text/plain",
                        "body".getBytes(StandardCharsets.UTF_8),
                        KEY,
                        AttemptId.of("a1"),
                        timeout);
        return mClient.send(request).blockingGet();
    }

    private static String httpResponse(String status, String headers) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: 4\r\n\r\ndone";
    }
}
