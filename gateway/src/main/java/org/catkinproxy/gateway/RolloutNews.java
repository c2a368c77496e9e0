package org.catkinproxy.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.ModelId;
import org.catkinproxy.serving.RolloutState;
import org.catkinproxy.serving.UpstreamLoad;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Passes the state of a rollout from its holder to the other instances, by a row of the store.
 *
 * <p>Without it each instance learns from rejections which engines change, and each of these draws
 * on the retry budget. Used by the event loop only.
 */
final class RolloutNews implements TableWatch.Listener {
    static final String TABLE = "rollouts";
    private static final String KEY = "weights";

    /** A state that is not renewed no longer holds back requests after this time. */
    private static final long BELIEVED_NANOS = 3_000_000_000L;

    private final Gateway mGateway;
    private final TableStore mStore;
    private final ObjectMapper mJson = new ObjectMapper();
    private RolloutState mPublished = new RolloutState(Set.of(), Map.of());
    private Set<InstanceId> mChanging = Set.of();
    private boolean mWriting;

    RolloutNews(Gateway gateway, TableStore store) {
        mGateway = gateway;
        mStore = store;
    }

    /** Tells the other instances of a state, unless the last one is still on its way. */
    void publish(RolloutState state) {
        if (mWriting || state.equals(mPublished)) {
            return;
        }
        mWriting = true;
        mPublished = state;
        apply(state);
        mStore.write(TABLE, KEY, encode(state)).subscribe(v -> mWriting = false, this::writeFailed);
    }

    private void writeFailed(Throwable reason) {
        mWriting = false;
        mGateway.log().record(GatewayEvent.STORE_WRITE_FAILED, "row", "rollout", "reason", reason);
    }

    @Override
    public void onTable(List<TableRow> rows) {
        onChanges(rows);
    }

    @Override
    public void onChanges(List<TableRow> rows) {
        for (TableRow row : rows) {
            try {
                apply(decode(row.content().orElse(new byte[0])));
            } catch (IOException | IllegalArgumentException e) {
                mGateway.log()
                        .record(
                                GatewayEvent.CONFIG_UNREADABLE,
                                "row",
                                row.key(),
                                "reason",
                                e.getMessage());
            }
        }
    }

    @Override
    public void onConnected() {
        // The watches of the operators' and upstreams' tables say when the store is lost.
    }

    @Override
    public void onDisconnected(CatkinException reason) {
        // As above; what was believed lapses by itself.
    }

    private void apply(RolloutState state) {
        long now = mGateway.now();
        for (UpstreamLoad load : mGateway.engineLoads()) {
            InstanceId id = load.upstream().id();
            state.done()
                    .getOrDefault(id, Map.of())
                    .forEach((model, version) -> load.sawVersion(model, version));
            if (state.changing().contains(id)) {
                load.rejects(now, BELIEVED_NANOS);
            } else if (mChanging.contains(id)) {
                load.acceptsAgain();
            }
        }
        mChanging = state.changing();
    }

    private byte[] encode(RolloutState state) {
        ObjectNode row = mJson.createObjectNode();
        state.changing().stream().sorted().forEach(id -> row.withArray("changing").add(id.value()));
        ObjectNode done = row.putObject("done");
        state.done()
                .forEach(
                        (id, weights) -> {
                            ObjectNode engine = done.putObject(id.value());
                            weights.forEach((m, v) -> engine.put(m.value(), v));
                        });
        return row.toString().getBytes(StandardCharsets.UTF_8);
    }

    private RolloutState decode(byte[] content) throws IOException {
        JsonNode row = mJson.readTree(content);
        Set<InstanceId> changing = new HashSet<>();
        row.path("changing").forEach(id -> changing.add(InstanceId.of(id.asText())));
        Map<InstanceId, Map<ModelId, Integer>> done = new HashMap<>();
        row.path("done")
                .fields()
                .forEachRemaining(e -> done.put(InstanceId.of(e.getKey()), weights(e.getValue())));
        return new RolloutState(changing, done);
    }

    private static Map<ModelId, Integer> weights(JsonNode engine) {
        Map<ModelId, Integer> weights = new HashMap<>();
        engine.fields()
                .forEachRemaining(e -> weights.put(ModelId.of(e.getKey()), e.getValue().asInt()));
        return weights;
    }
}
