package org.catkinproxy.standin.engine;

import static com.google.common.base.Preconditions.checkArgument;

import com.fasterxml.jackson.databind.JsonNode;

import org.catkinproxy.standin.Tokens;
import org.catkinproxy.standin.WeightsName;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The body of {@code POST /v1/generate}.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param id the request's id
 * @param weights the weights that are to answer
 * @param priority how urgent it is
 * @param prompt the prompt without what was delivered
 * @param blocks the keys of the prompt's whole blocks
 * @param delivered how many tokens the caller already has
 * @param maxTokens the most tokens of the whole stream, those delivered included
 */
record GenerateRequest(
        String id,
        WeightsName weights,
        Priority priority,
        String prompt,
        List<String> blocks,
        int delivered,
        int maxTokens) {
    static final int TOKENS_PER_BLOCK = 1_024;
    private static final int BYTES_PER_TOKEN = 4;
    private static final int DEFAULT_MAX_TOKENS = 256;

    GenerateRequest {
        checkArgument(!id.isEmpty(), "request is empty");
        blocks = List.copyOf(blocks);
    }

    static GenerateRequest of(JsonNode json) {
        List<String> blocks = new ArrayList<>();
        json.path("blocks").forEach(b -> blocks.add(b.asText()));
        return new GenerateRequest(
                json.path("request").asText(),
                WeightsName.of(json.path("weights")),
                Priority.valueOf(json.path("priority").asText("normal").toUpperCase(Locale.ROOT)),
                json.path("prompt").asText(),
                blocks,
                json.path("delivered").size(),
                json.path("maxTokens").asInt(DEFAULT_MAX_TOKENS));
    }

    Tokens tokens() {
        return Tokens.of(prompt, weights);
    }

    int promptTokens() {
        int bytes = prompt.getBytes(StandardCharsets.UTF_8).length;
        return (bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN + delivered;
    }

    /** The order in which waiting requests get a slot, the most urgent first. Immutable. */
    enum Priority {
        ALARM,
        NORMAL,
        DRAFT
    }
}
