package org.catkinproxy.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A daemon's operator interface with prepared answers. Safe for use by any thread. */
final class FakeDaemon implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Map<String, Answer> mAnswers = new ConcurrentHashMap<>();
    private final List<String> mRequests = new CopyOnWriteArrayList<>();
    private final HttpServer mServer;

    FakeDaemon() {
        try {
            mServer =
                    HttpServer.create(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mServer.createContext("/", this::handle);
        mServer.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    /** Prepares the answer to a request like {@code GET /operator/status}. */
    void answer(String request, Object message) {
        mAnswers.put(request, new Answer(200, json(message), 0));
    }

    void answerSheet(String request, long revision, String csv) {
        mAnswers.put(request, new Answer(200, csv, revision));
    }

    void fail(String request, int status, String code, String outcome) {
        mAnswers.put(request, error(status, code, outcome));
    }

    /** Has the connection closed instead of an answer to the request. */
    void loseAnswer(String request) {
        mAnswers.put(request, new Answer(0, "", 0));
    }

    List<String> requests() {
        return mRequests;
    }

    @Override
    public void close() {
        mServer.stop(0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        String request = exchange.getRequestMethod() + " " + exchange.getRequestURI();
        exchange.getRequestBody().readAllBytes();
        mRequests.add(request);
        Answer answer = mAnswers.getOrDefault(request, error(404, "not_found", "not_run"));
        if (answer.status() != 0) {
            byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Catkin-Revision", "" + answer.revision());
            exchange.sendResponseHeaders(answer.status(), body.length);
            exchange.getResponseBody().write(body);
        }
        exchange.close();
    }

    private static Answer error(int status, String code, String outcome) {
        Map<String, String> error =
                Map.of("code", code, "message", "as prepared", "outcome", outcome);
        return new Answer(status, json(Map.of("error", error)), 0);
    }

    private static String json(Object message) {
        try {
            return MAPPER.writeValueAsString(message);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private record Answer(int status, String body, long revision) {}
}
