package org.catkinproxy.standin.service;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.standin.Call;
import org.catkinproxy.standin.Fault;
import org.catkinproxy.standin.StandinServer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A plain service that executes every POST it receives, also one it has executed before.
 *
 * <p>It never compares keys, so a call that was sent twice shows as two executions. Safe for use by
 * any thread; the log is under one lock.
 */
public final class ServiceStandin extends StandinServer {
    private static final String KEY_HEADER = "Idempotency-Key";

    private final List<Execution> mExecutions = new ArrayList<>();
    private final boolean mHasStatus;

    private ServiceStandin(int port, boolean hasStatus) {
        super(port);
        mHasStatus = hasStatus;
    }

    /** Starts a service on a port of loopback, 0 for any free one. */
    public static ServiceStandin start(int port) {
        return start(port, true);
    }

    /** Starts a service that may be without {@code GET /calls/{key}}. */
    public static ServiceStandin start(int port, boolean hasStatus) {
        ServiceStandin service = new ServiceStandin(port, hasStatus);
        service.serve();
        return service;
    }

    /** Returns how often calls with {@code key} were executed. */
    public int executions(String key) {
        synchronized (mExecutions) {
            return (int) mExecutions.stream().filter(e -> e.key().equals(key)).count();
        }
    }

    @Override
    protected void handle(Call call) throws IOException {
        if (takeFault("redirect", call).isPresent()) {
            call.answerHeader("Location", url() + call.path());
            call.answer(307);
            return;
        }
        switch (call.method()) {
            case "POST" -> execute(call);
            case "GET" -> read(call);
            default -> call.error(405, "method", call.method());
        }
    }

    @Override
    protected JsonNode log() {
        ObjectNode log = Call.JSON.createObjectNode();
        ArrayNode executions = log.putArray("executions");
        synchronized (mExecutions) {
            mExecutions.forEach(e -> executions.add(e.toJson()));
        }
        return log;
    }

    private void execute(Call call) throws IOException {
        String key = call.header(KEY_HEADER);
        Execution execution = record(call, key);
        if (takeFault("answer_lost", call).isPresent()) {
            call.cut();
            return;
        }
        takeFault("late", call).ifPresent((Fault f) -> sleep(f.delay()));
        boolean crossed = takeFault("crossed", call).isPresent();
        call.answerHeader(KEY_HEADER, crossed ? key + "-of-another-call" : key);
        call.answer(201, "application/json", execution.answer());
    }

    private Execution record(Call call, String key) {
        synchronized (mExecutions) {
            int number = mExecutions.size() + 1;
            Execution execution =
                    new Execution(number, key, call.header("Catkin-Attempt"), call.path());
            mExecutions.add(execution);
            return execution;
        }
    }

    private void read(Call call) throws IOException {
        if (!call.part(0).equals("calls")) {
            call.answerHeader(KEY_HEADER, call.header(KEY_HEADER));
            call.answer(200, Call.JSON.createObjectNode().put("path", call.path()));
        } else if (mHasStatus) {
            answerStatus(call, call.rest(1));
        } else {
            call.error(404, "not_found", call.path());
        }
    }

    private void answerStatus(Call call, String key) throws IOException {
        Optional<Execution> execution;
        synchronized (mExecutions) {
            execution = mExecutions.stream().filter(e -> e.key().equals(key)).findFirst();
        }
        ObjectNode status = Call.JSON.createObjectNode();
        status.put("key", key);
        status.put("status", execution.isPresent() ? "done" : "none");
        execution.ifPresent(
                e ->
                        status.putObject("answer")
                                .put("status", 201)
                                .put("contentType", "application/json")
                                .put("body", new String(e.answer(), StandardCharsets.UTF_8)));
        call.answer(200, status);
    }

    /** One executed call. */
    private record Execution(int number, String key, String attempt, String path) {
        ObjectNode toJson() {
            return Call.JSON
                    .createObjectNode()
                    .put("number", number)
                    .put("key", key)
                    .put("attempt", attempt)
                    .put("path", path);
        }

        byte[] answer() {
            ObjectNode answer = Call.JSON.createObjectNode();
            answer.put("registered", number).put("key", key);
            return answer.toString().getBytes(StandardCharsets.UTF_8);
        }
    }
}
