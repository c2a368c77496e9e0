package org.catkinproxy.standin;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

import org.catkinproxy.standin.engine.EngineOptions;
import org.catkinproxy.standin.engine.EngineStandin;

import java.io.IOException;
import java.time.Duration;
import java.util.List;

final class EngineStandinTest {
    private static final WeightsName WEIGHTS = new WeightsName("m", "base", "v1");
    private static final String PROMPT = "a".repeat(4_096 * 2 + 10);

    private final EngineStandin mEngine =
            EngineStandin.start(
                    0,
                    EngineOptions.DEFAULT
                            .withWeights(List.of(WEIGHTS))
                            .withSizes(2, 4, 3)
                            .withSpeeds(1_000_000, 10_000));

    @AfterTry
    void close() {
        mEngine.close();
    }

    @Example
    void streamHoldsTheTokensOfItsPrompt() throws IOException {
        List<JsonNode> events = generate(request("r1", 20)).events();
        assertThat(events.get(0).path("cachedTokens").asInt()).isEqualTo(0);
        assertThat(text(events)).isEqualTo(Tokens.of(PROMPT, WEIGHTS).text(1, 20));
        JsonNode end = events.get(events.size() - 1);
        assertThat(end.path("count").asInt()).isEqualTo(20);
        assertThat(end.path("finish").asText()).isEqualTo("length");
    }

    @Example
    void secondRequestFindsItsPrefixCached() throws IOException {
        generate(request("r1", 5));
        JsonNode start = generate(request("r2", 5)).events().get(0);
        assertThat(start.path("cachedTokens").asInt()).isEqualTo(2_048);
    }

    @Example
    void continuationGoesOnAfterTheDeliveredTokens() throws IOException {
        ObjectNode request = request("r1", 20);
        ArrayNode delivered = request.putArray("delivered");
        for (int n = 1; n <= 7; n++) {
            delivered.add(Tokens.of(PROMPT, WEIGHTS).token(n));
        }
        List<JsonNode> events = generate(request).events();
        assertThat(events.get(1).path("seq").asInt()).isEqualTo(8);
        assertThat(text(events)).isEqualTo(Tokens.of(PROMPT, WEIGHTS).text(8, 20));
    }

    @Example
    void generationCanBeResumedOnNewConnection() throws IOException {
        generate(request("r1", 20));
        String url = mEngine.url() + "/v1/generate/r1/resume?after=12";
        assertThat(text(Http.post(url, "{}").events()))
                .isEqualTo(Tokens.of(PROMPT, WEIGHTS).text(13, 20));
        assertThat(Http.post(url.replace("r1", "r9"), "{}").status()).isEqualTo(404);
    }

    @Example
    void cacheEvictsTheOldestBlock() throws IOException {
        generate(request("r1", 5));
        ObjectNode other = request("r2", 5);
        other.putArray("blocks").add("c1").add("c2");
        generate(other);
        JsonNode cache = Http.get(mEngine.url() + "/v1/cache").json();
        assertThat(cache.path("seq").asInt()).isEqualTo(5);
        assertThat(cache.path("blocks").toString()).isEqualTo("[\"b2\",\"c1\",\"c2\"]");
    }

    @Example
    void tokenFaultsShowInTheStream() throws IOException {
        mEngine.fault(Fault.of("token_repeat").times(1));
        assertThat(sequences(generate(request("r1", 4)).events())).containsExactly(1, 1, 2, 3, 4);
        mEngine.fault(Fault.of("token_gap").times(1));
        assertThat(sequences(generate(request("r2", 4)).events())).doesNotContain(1);
    }

    @Example
    void crashEmptiesTheEngine() throws IOException {
        generate(request("r1", 5));
        String before = mEngine.incarnation();
        mEngine.fault(Fault.of("crash").delayed(Duration.ZERO));
        assertThat(mEngine.incarnation()).isNotEqualTo(before);
        JsonNode cache = awaitCache();
        assertThat(cache.path("blocks").size()).isEqualTo(0);
    }

    @Example
    void unknownWeightsAndOldOrdersAreRefused() throws IOException {
        ObjectNode request = request("r1", 5);
        request.putObject("weights").put("model", "m").put("adapter", "base").put("version", "v2");
        assertThat(generate(request).status()).isEqualTo(409);
        String orders = mEngine.url() + "/v1/orders";
        String load =
                "{\"order\":\"load\",\"fencing\":5,\"weights\":" + request.path("weights") + "}";
        assertThat(Http.post(orders, load).status()).isEqualTo(202);
        assertThat(generate(request).status()).isEqualTo(200);
        assertThat(Http.post(orders, load.replace("5", "4")).status()).isEqualTo(409);
    }

    private JsonNode awaitCache() throws IOException {
        while (true) {
            try {
                return Http.get(mEngine.url() + "/v1/cache").json();
            } catch (IOException e) {
                Thread.onSpinWait();
            }
        }
    }

    private Http.Answer generate(ObjectNode request) throws IOException {
        return Http.post(mEngine.url() + "/v1/generate", request.toString());
    }

    private static ObjectNode request(String id, int maxTokens) {
        ObjectNode request = Call.JSON.createObjectNode();
        request.put("request", id).put("workspace", "w").put("priority", "normal");
        request.put("prompt", PROMPT).put("maxTokens", maxTokens);
        request.putObject("weights").put("model", "m").put("adapter", "base").put("version", "v1");
        request.putArray("blocks").add("b1").add("b2");
        request.putArray("delivered");
        return request;
    }

    private static String text(List<JsonNode> events) {
        StringBuilder text = new StringBuilder();
        events.forEach(e -> text.append(e.path("text").asText()));
        return text.toString();
    }

    private static List<Integer> sequences(List<JsonNode> events) {
        return events.stream()
                .filter(e -> e.path("type").asText().equals("token"))
                .map(e -> e.path("seq").asInt())
                .toList();
    }
}
