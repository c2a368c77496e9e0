package org.catkinproxy.standin;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/** One HTTP call that a stand-in answers. Used by the one thread that handles the call. */
public final class Call {
    /** Reads and writes all bodies; safe for use by any thread. */
    public static final ObjectMapper JSON = new ObjectMapper();

    private final HttpExchange mExchange;
    private final byte[] mBody;

    private Call(HttpExchange exchange, byte[] body) {
        mExchange = exchange;
        mBody = body;
    }

    static Call read(HttpExchange exchange) throws IOException {
        return new Call(exchange, exchange.getRequestBody().readAllBytes());
    }

    /** Returns the other end of the connection. */
    public InetSocketAddress remote() {
        return mExchange.getRemoteAddress();
    }

    /** Returns the HTTP method. */
    public String method() {
        return mExchange.getRequestMethod();
    }

    /** Returns the path as it was sent. */
    public String path() {
        return mExchange.getRequestURI().getRawPath();
    }

    /** Returns part {@code index} of the path, decoded, or the empty text if there is none. */
    public String part(int index) {
        List<String> parts = List.of(path().substring(1).split("/"));
        return index < parts.size() ? decode(parts.get(index)) : "";
    }

    /** Returns everything of the path after the first {@code parts} parts. */
    public String rest(int parts) {
        String[] pieces = path().substring(1).split("/", parts + 1);
        return pieces.length > parts ? decode(pieces[parts]) : "";
    }

    /** Returns a parameter of the query, or the empty text if there is none. */
    public String query(String name) {
        String query = Optional.ofNullable(mExchange.getRequestURI().getRawQuery()).orElse("");
        for (String pair : query.split("&")) {
            if (pair.startsWith(name + "=")) {
                return decode(pair.substring(name.length() + 1));
            }
        }
        return "";
    }

    /** Returns a header, or the empty text if there is none. */
    public String header(String name) {
        return Optional.ofNullable(mExchange.getRequestHeaders().getFirst(name)).orElse("");
    }

    /** Returns the body's bytes. */
    public byte[] body() {
        return mBody.clone();
    }

    /**
     * Returns the body read as JSON.
     *
     * @throws IllegalArgumentException if it is not JSON
     */
    public JsonNode json() {
        try {
            return JSON.readTree(mBody);
        } catch (IOException e) {
            throw new IllegalArgumentException("the body is not JSON: " + e.getMessage(), e);
        }
    }

    /** Sets a header of the answer. */
    public void answerHeader(String name, String value) {
        mExchange.getResponseHeaders().set(name, value);
    }

    /** Answers with JSON. */
    public void answer(int status, JsonNode body) throws IOException {
        answer(status, "application/json", bytes(body));
    }

    /** Answers with bytes. */
    public void answer(int status, String contentType, byte[] body) throws IOException {
        answerHeader("Content-Type", contentType);
        mExchange.sendResponseHeaders(status, body.length == 0 ? -1 : body.length);
        if (body.length > 0) {
            mExchange.getResponseBody().write(body);
        }
        mExchange.close();
    }

    /** Answers without a body. */
    public void answer(int status) throws IOException {
        mExchange.sendResponseHeaders(status, -1);
        mExchange.close();
    }

    /** Answers with the body that all errors have. */
    public void error(int status, String code, String message) throws IOException {
        ObjectNode body = JSON.createObjectNode();
        body.putObject("error").put("code", code).put("message", message);
        answer(status, body);
    }

    /** Begins an answer of lines that is written bit by bit. */
    public OutputStream stream() throws IOException {
        answerHeader("Content-Type", "application/x-ndjson");
        mExchange.sendResponseHeaders(200, 0);
        return mExchange.getResponseBody();
    }

    /** Closes the connection without a further byte, whether or not the answer has begun. */
    public void cut() {
        mExchange.close();
    }

    static byte[] bytes(JsonNode json) {
        try {
            return JSON.writeValueAsBytes(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String decode(String text) {
        return URLDecoder.decode(text, StandardCharsets.UTF_8);
    }
}
