package org.catkinproxy.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.standin.Call;
import org.catkinproxy.standin.Fault;
import org.catkinproxy.standin.StandinServer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The platform: table service, object store, instance list, weight store and KV store.
 *
 * <p>Everything is in memory and lost with the process. Safe for use by any thread.
 */
public final class PlatformStandin extends StandinServer {
    private static final int MAX_PAGE = 1_000;

    private final Tables mTables = new Tables();
    private final Objects mObjects = new Objects();
    private final Objects mKv = new Objects();
    private final Instances mInstances;
    private final WeightStore mWeights;
    private final AtomicLong mReads = new AtomicLong();
    private final AtomicLong mTransactions = new AtomicLong();

    private PlatformStandin(int port, PlatformOptions options) {
        super(port);
        mInstances = new Instances(options.listLag().toNanos());
        mWeights = new WeightStore(options.freeLoads(), options.loadsPerSecond());
    }

    /** Starts a platform on a port of loopback, 0 for any free one. */
    public static PlatformStandin start(int port) {
        return start(port, PlatformOptions.DEFAULT);
    }

    /** Starts a platform with options. */
    public static PlatformStandin start(int port, PlatformOptions options) {
        PlatformStandin platform = new PlatformStandin(port, options);
        platform.serve();
        return platform;
    }

    @Override
    protected void handle(Call call) throws IOException {
        switch (call.method() + " " + call.part(0)) {
            case "GET table" -> read(call);
            case "POST table-transactions" -> transact(call);
            case "PUT objects" -> put(call, mObjects, call.rest(1));
            case "GET objects" -> get(call, mObjects, call.rest(1));
            case "GET instances" -> listInstances(call);
            case "PUT instances" -> changeInstance(call, call.json());
            case "DELETE instances" -> changeInstance(call, null);
            case "GET weights" -> loadWeights(call);
            case "PUT kv" -> put(call, mKv, call.part(1));
            case "GET kv" -> readKv(call);
            default -> call.error(404, "not_found", call.method() + " " + call.path());
        }
    }

    @Override
    protected boolean act(Fault fault) {
        if (fault.name().equals("stale_list")) {
            mInstances.hold(System.nanoTime() + fault.delay().toNanos());
            return true;
        }
        return false;
    }

    @Override
    protected JsonNode log() {
        ObjectNode log = Call.JSON.createObjectNode();
        log.put("reads", mReads.get());
        log.put("transactions", mTransactions.get());
        return log;
    }

    private void read(Call call) throws IOException {
        mReads.incrementAndGet();
        if (call.part(2).isEmpty()) {
            scan(call);
            return;
        }
        Optional<Tables.Row> row = mTables.get(call.part(1), call.rest(2));
        if (row.isEmpty()) {
            call.error(404, "not_found", call.path());
        } else {
            call.answer(200, toJson(row.get()));
        }
    }

    private void scan(Call call) throws IOException {
        String limit = call.query("limit");
        int rows = limit.isEmpty() ? MAX_PAGE : Math.min(MAX_PAGE, Integer.parseInt(limit));
        ObjectNode answer = Call.JSON.createObjectNode();
        ArrayNode list = answer.putArray("rows");
        mTables.scan(call.part(1), call.query("prefix"), call.query("after"), rows)
                .forEach(row -> list.add(toJson(row)));
        call.answer(200, answer);
    }

    private void transact(Call call) throws IOException {
        mTransactions.incrementAndGet();
        List<Tables.Write> writes = new ArrayList<>();
        for (JsonNode write : call.json().path("writes")) {
            writes.add(
                    new Tables.Write(
                            write.path("table").asText(),
                            write.path("key").asText(),
                            write.path("expect").asLong(),
                            write.path("value")));
        }
        Optional<Fault> late = takeFault("write_late", call);
        if (late.isPresent()) {
            long delay = late.get().delay().toMillis();
            timer().schedule(() -> mTables.transact(writes), delay, TimeUnit.MILLISECONDS);
            call.cut();
            return;
        }
        Tables.Result result = mTables.transact(writes);
        if (takeFault("answer_lost", call).isPresent()) {
            call.cut();
            return;
        }
        answer(call, result);
    }

    private static void answer(Call call, Tables.Result result) throws IOException {
        ObjectNode answer = Call.JSON.createObjectNode();
        if (result.isWritten()) {
            ArrayNode versions = answer.putArray("versions");
            result.versions().forEach(versions::add);
        } else {
            ArrayNode conflicts = answer.putArray("conflicts");
            result.conflicts().forEach(conflicts::add);
        }
        call.answer(result.isWritten() ? 200 : 409, answer);
    }

    private void put(Call call, Objects objects, String name) throws IOException {
        boolean written = objects.put(name, call.body());
        if (takeFault("answer_lost", call).isPresent()) {
            call.cut();
        } else if (written) {
            call.answer(204);
        } else {
            call.error(409, "store_conflict", "the object has other content: " + name);
        }
    }

    private static void get(Call call, Objects objects, String name) throws IOException {
        Optional<byte[]> content = objects.get(name);
        if (content.isEmpty()) {
            call.error(404, "not_found", name);
        } else {
            call.answer(200, "application/octet-stream", content.get());
        }
    }

    private void readKv(Call call) throws IOException {
        if (!call.part(1).isEmpty()) {
            get(call, mKv, call.part(1));
            return;
        }
        ObjectNode answer = Call.JSON.createObjectNode();
        ArrayNode blocks = answer.putArray("blocks");
        mKv.present(List.of(call.query("blocks").split(","))).forEach(blocks::add);
        call.answer(200, answer);
    }

    private void listInstances(Call call) throws IOException {
        ObjectNode answer = Call.JSON.createObjectNode();
        ArrayNode list = answer.putArray("instances");
        mInstances.list(System.nanoTime()).forEach(list::add);
        call.answer(200, answer);
    }

    private void changeInstance(Call call, JsonNode instance) throws IOException {
        String id = call.part(1);
        if (instance instanceof ObjectNode object) {
            object.put("id", id);
        }
        mInstances.change(id, instance, System.nanoTime());
        call.answer(204);
    }

    private void loadWeights(Call call) throws IOException {
        if (!mWeights.begin(System.nanoTime())) {
            call.error(429, "rate_limited", "the weight store is over its rate");
            return;
        }
        try {
            sleep(mWeights.loadTime());
        } finally {
            mWeights.end();
        }
        call.answer(200, "application/octet-stream", call.path().getBytes());
    }

    private static JsonNode toJson(Tables.Row row) {
        ObjectNode json = Call.JSON.createObjectNode();
        json.put("key", row.key());
        json.put("version", row.version());
        json.set("value", row.value());
        return json;
    }
}
