package org.catkinproxy.upstream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.id.BlockKey;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.Weights;
import org.catkinproxy.route.EngineReport;
import org.catkinproxy.route.RouteEvent;
import org.catkinproxy.route.RouteEvent.CacheChange;
import org.catkinproxy.stream.ConnectionFailure;
import org.catkinproxy.stream.StreamEvent;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

/**
 * Reads and writes the JSON that engines speak.
 *
 * <p>Whatever can not be read is an {@link IllegalArgumentException}. Stateless; thread-safe.
 */
final class EngineJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EngineJson() {}

    static byte[] write(GenerateRequest request, List<String> delivered) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("request", request.request().value());
        root.put("workspace", request.workspace().value());
        putWeights(root, request.weights());
        root.put("priority", request.priority().wireName());
        root.put("prompt", request.prompt());
        ArrayNode blocks = root.putArray("blocks");
        request.blocks().keys().forEach(k -> blocks.add(k.toHex()));
        ArrayNode tokens = root.putArray("delivered");
        delivered.forEach(tokens::add);
        root.put("maxTokens", request.maxTokens());
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of strings is always writable", e);
        }
    }

    static JsonNode parse(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (IOException e) {
            throw new IllegalArgumentException("not JSON", e);
        }
    }

    static StreamEvent streamEvent(int attempt, String line) {
        JsonNode node;
        try {
            node = MAPPER.readTree(line);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("not JSON", e);
        }
        RequestId request = RequestId.of(node.path("request").asText());
        switch (node.path("type").asText()) {
            case "start":
                return new StreamEvent.Started(
                        attempt,
                        request,
                        Incarnation.of(node.path("incarnation").asText()),
                        weights(node.path("weights")),
                        node.path("cachedTokens").asInt(-1));
            case "token":
                return new StreamEvent.Token(
                        attempt, request, node.path("seq").asLong(), node.path("text").asText());
            case "heartbeat":
                return new StreamEvent.Heartbeat(attempt, request);
            case "end":
                return new StreamEvent.Ended(
                        attempt,
                        request,
                        node.path("count").asLong(-1),
                        node.path("finish").asText("stop"));
            case "error":
                return new StreamEvent.ConnectionFailed(attempt, ConnectionFailure.ENGINE_ERROR);
            default:
                throw new IllegalArgumentException("unknown type of event");
        }
    }

    static EngineReport report(EngineEndpoint endpoint, JsonNode node) {
        Set<Weights> weights = new HashSet<>();
        node.path("weights").forEach(w -> weights.add(weights(w)));
        return new EngineReport(
                endpoint.engine(),
                Incarnation.of(node.path("incarnation").asText()),
                endpoint.pool(),
                weights,
                node.path("slots").asInt(),
                node.path("running").asInt(),
                node.path("queued").asInt(),
                node.path("queuedTokens").asLong(),
                node.path("prefillTokensPerSecond").asDouble(),
                node.path("decodeTokensPerSecond").asDouble(),
                node.path("cacheBlocks").asInt(),
                node.path("ageMs").asLong());
    }

    static RouteEvent.CacheSnapshot snapshot(EngineEndpoint endpoint, JsonNode node) {
        return new RouteEvent.CacheSnapshot(
                endpoint.engine(),
                Incarnation.of(node.path("incarnation").asText()),
                node.path("seq").asLong(),
                blocks(node.path("blocks")));
    }

    static RouteEvent.CacheChanged cacheChanged(EngineEndpoint endpoint, JsonNode node) {
        return new RouteEvent.CacheChanged(
                endpoint.engine(),
                Incarnation.of(node.path("incarnation").asText()),
                node.path("seq").asLong(),
                CacheChange.valueOf(node.path("change").asText().toUpperCase(Locale.ROOT)),
                blocks(node.path("blocks")));
    }

    private static void putWeights(ObjectNode root, Weights weights) {
        root.putObject("weights")
                .put("model", weights.model().value())
                .put("adapter", weights.adapter().value())
                .put("version", weights.version().value());
    }

    private static Weights weights(JsonNode node) {
        return Weights.of(
                node.path("model").asText(),
                node.path("adapter").asText(),
                node.path("version").asText());
    }

    private static List<BlockKey> blocks(JsonNode nodes) {
        List<BlockKey> keys = new ArrayList<>(nodes.size());
        nodes.forEach(n -> keys.add(BlockKey.ofHex(n.asText())));
        return keys;
    }
}
