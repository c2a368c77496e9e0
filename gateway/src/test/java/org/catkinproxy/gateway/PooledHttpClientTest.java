package org.catkinproxy.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Example;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.handler.codec.http.HttpMethod;
import io.reactivex.rxjava3.core.Single;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Calls to servers that break off, repeat or never end their responses. */
class PooledHttpClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final long WATCHDOG_SECONDS = 30;
    private static final long ENOUGH_BYTES = 64L * 1024 * 1024;
    private static final int BLOCK_BYTES = 16 * 1024;
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    /** Writes the response to the request with this number, counted from 1. */
    private interface Script {
        /** Returns whether the connection stays open. */
        boolean respond(int request, OutputStream out) throws IOException;
    }

    /** A server that runs a script, and a client of it. */
    private static final class Stage implements AutoCloseable {
        private final ServerSocket mListener =
                new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
        private final NioEventLoopGroup mLoops = new NioEventLoopGroup(1);
        private final EventLoop mLoop = mLoops.next();
        private final PooledHttpClient mClient = PooledHttpClient.of(mLoop);
        private final AtomicInteger mRequests = new AtomicInteger();
        private final AtomicInteger mConnections = new AtomicInteger();
        private final CountDownLatch mClosedByClient = new CountDownLatch(1);
        private final Script mScript;
        private final boolean mReset;

        Stage(boolean reset, Script script) throws IOException {
            mReset = reset;
            mScript = script;
            Thread acceptor = new Thread(this::accept, "acceptor");
            acceptor.setDaemon(true);
            acceptor.start();
        }

        private void accept() {
            while (!mListener.isClosed()) {
                try {
                    Socket socket = mListener.accept();
                    mConnections.incrementAndGet();
                    Thread thread = new Thread(() -> serve(socket), "server");
                    thread.setDaemon(true);
                    thread.start();
                } catch (IOException e) {
                    // The test has ended.
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setSoLinger(mReset, 0);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                boolean open = true;
                while (open) {
                    readHead(in);
                    open = mScript.respond(mRequests.incrementAndGet(), socket.getOutputStream());
                }
            } catch (IOException e) {
                mClosedByClient.countDown();
            }
        }

        private static void readHead(InputStream in) throws IOException {
            int newlines = 0;
            while (newlines < 2) {
                int next = in.read();
                if (next < 0) {
                    throw new IOException("closed by the client");
                }
                newlines = next == '\n' ? newlines + 1 : next == '\r' ? newlines : 0;
            }
        }

        private Single<PooledHttpClient.Response> call() {
            return mClient.call(
                            Step.STORE,
                            "127.0.0.1:" + mListener.getLocalPort(),
                            HttpMethod.GET,
                            "/a",
                            Map.of(),
                            Optional.empty(),
                            TIMEOUT)
                    .subscribeOn(io.reactivex.rxjava3.schedulers.Schedulers.from(mLoop));
        }

        /** Returns status and body of a response, or the outcome of a failed call. */
        String result() {
            try {
                PooledHttpClient.Response response =
                        call().timeout(WATCHDOG_SECONDS, TimeUnit.SECONDS).blockingGet();
                return response.status() + " " + new String(response.body(), ascii());
            } catch (CatkinException e) {
                return e.outcome().toString();
            }
        }

        @Override
        public void close() throws IOException {
            mListener.close();
            mLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    private static java.nio.charset.Charset ascii() {
        return StandardCharsets.US_ASCII;
    }

    private static Script closing(String response) {
        return (request, out) -> {
            out.write(response.getBytes(ascii()));
            return false;
        };
    }

    private static String result(boolean reset, String response) throws IOException {
        try (Stage stage = new Stage(reset, closing(response))) {
            return stage.result();
        }
    }

    /** Guards against taking what came before a server broke off for its response. */
    @Example
    void responseThatBreaksOffIsNoResponse() throws Exception {
        List<String> beginnings =
                List.of(
                        "",
                        "HTTP/1.1 2",
                        "HTTP/1.1 200",
                        OK,
                        OK + "Content-Le",
                        OK + "Content-Length: 2\r\n",
                        OK + "Content-Length: 2\r\n folded",
                        OK + "Content-Length: 2\r\n\r\n",
                        OK + "Content-Length: 2\r\n\r\n{",
                        OK + "X-A: b\r\n",
                        OK + "X-A: b\r\n c\r\n",
                        OK + "Transfer-Encoding: chunked\r\n\r\n",
                        OK + "Transfer-Encoding: chunked\r\n\r\n2",
                        OK + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}",
                        OK + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n",
                        OK + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n",
                        OK + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX-A: b\r\n",
                        OK + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\nbad\r\n",
                        "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\n{",
                        "HTTP/1.1 102 Processing\r\n\r\n",
                        "HTTP/1.1 102 Processing\r\n\r\n" + OK,
                        "bytes that are no response\r\n\r\n",
                        "HTTP/1.1 OK\r\n\r\n");
        for (String beginning : beginnings) {
            assertWithMessage(beginning)
                    .that(result(false, beginning))
                    .isEqualTo(Outcome.UNKNOWN.toString());
            assertWithMessage("reset after " + beginning)
                    .that(result(true, beginning))
                    .isEqualTo(Outcome.UNKNOWN.toString());
        }
    }

    /** Guards against a row, report or order that a server in trouble did not answer so. */
    @Example
    void malformedResponseIsNoResponse() throws Exception {
        String length = "Content-Length: 2\r\n";
        List<String> responses =
                List.of(
                        "HTTP/1.1 000 Odd\r\n" + length + "\r\n{}",
                        "HTTP/1.1 999 Odd\r\n" + length + "\r\n{}",
                        "HTTP/9.9 200 OK\r\n" + length + "\r\n{}",
                        OK + length + "X Bad: 1\r\n\r\n{}",
                        OK + length + "X\u0001Bad: 1\r\n\r\n{}",
                        OK + "Content-Length : 1\r\n\r\n{}",
                        OK + "Transfer-Encoding: other\r\n\r\n{}",
                        OK + "Transfer-Encoding: chunked\r\n\r\n2\u0000\r\n{}\r\n0\r\n\r\n");
        for (String response : responses) {
            assertWithMessage(response)
                    .that(result(false, response))
                    .isEqualTo(Outcome.UNKNOWN.toString());
        }
    }

    @Example
    void bodyWithoutLengthEndsWithTheConnection() throws Exception {
        assertThat(result(false, OK + "\r\n{}")).isEqualTo("200 {}");
        assertThat(result(false, "HTTP/1.0 200 OK\r\n\r\n{}")).isEqualTo("200 {}");
        assertThat(result(true, OK + "\r\n{}")).isEqualTo(Outcome.UNKNOWN.toString());
    }

    /** Guards against giving a call what came after the response to the call before it. */
    @Example
    void bytesAfterResponseDoNotReachTheNextCall() throws Exception {
        String own = OK + "Content-Length: 3\r\n\r\nown";
        List<String> leftovers =
                List.of(
                        "HTTP/1.1 202",
                        "HTTP/1.1 202 Accepted\r\nContent-Length: 5\r\n\r\n",
                        "HTTP/1.1 202 Accepted\r\nContent-Length: 5\r\n\r\nst",
                        "HTTP/1.1 202 Accepted\r\nContent-Length: 5\r\n\r\nstale",
                        "x");
        for (String leftover : leftovers) {
            Script script =
                    (request, out) -> {
                        out.write((own + leftover).getBytes(ascii()));
                        return true;
                    };
            try (Stage stage = new Stage(false, script)) {
                for (int i = 0; i < 3; i++) {
                    assertWithMessage(leftover).that(stage.result()).isEqualTo("200 own");
                }
            }
        }
    }

    /** Guards against an interim response that is taken for the response. */
    @Example
    void responseAfterInterimResponsesIsTheResponse() throws Exception {
        Script script =
                (request, out) -> {
                    String interim = "HTTP/1.1 102 Processing\r\n\r\n".repeat(2);
                    String body = "r" + request;
                    out.write(
                            (interim + OK + "Content-Length: 2\r\n\r\n" + body).getBytes(ascii()));
                    return true;
                };
        try (Stage stage = new Stage(false, script)) {
            assertThat(stage.result()).isEqualTo("200 r1");
            assertThat(stage.result()).isEqualTo("200 r2");
            assertThat(stage.mConnections.get()).isEqualTo(1);
        }
    }

    /** Guards against reading a response without end until its timeout. */
    @Example
    void responseWithoutEndIsCut() throws Exception {
        String chunked = OK + "Transfer-Encoding: chunked\r\n\r\n";
        List<List<String>> responses =
                List.of(
                        List.of("HTTP/1.1 200 ", "a"),
                        List.of(OK + "X-Long: ", "a"),
                        List.of(OK, "A: b\r\n"),
                        List.of(OK, "A: b\r\n c\r\n"),
                        List.of("", "HTTP/1.1 102 Processing\r\n\r\n"),
                        List.of(OK + "\r\n", "a"),
                        List.of(chunked + "1;", "a"),
                        List.of(chunked, "1\r\nx\r\n"),
                        List.of(chunked + "0\r\n", "A: b\r\n"));
        for (List<String> response : responses) {
            String unit =
                    response.get(1).repeat(Math.max(1, BLOCK_BYTES / response.get(1).length()));
            Script script =
                    (request, out) -> {
                        out.write(response.get(0).getBytes(ascii()));
                        byte[] block = unit.getBytes(ascii());
                        for (long sent = 0; sent < ENOUGH_BYTES; sent += block.length) {
                            out.write(block);
                        }
                        return true;
                    };
            try (Stage stage = new Stage(false, script)) {
                assertWithMessage(response.toString())
                        .that(stage.result())
                        .isEqualTo(Outcome.UNKNOWN.toString());
                assertWithMessage(response.toString())
                        .that(stage.mClosedByClient.await(WATCHDOG_SECONDS, TimeUnit.SECONDS))
                        .isTrue();
            }
        }
    }
}
