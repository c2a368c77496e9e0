package org.catkinproxy.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;

import java.io.IOException;

/**
 * Parses the bodies of completion requests.
 *
 * <p>Fields that the proxy does not need are ignored. An invalid body is reported as a {@link
 * CatkinException} with code {@code MALFORMED_BODY}. Stateless; safe for use by any thread.
 */
final class CompletionParser {
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_DEPTH = 64;
    private static final ObjectMapper MAPPER = newMapper();

    private CompletionParser() {}

    static CompletionRequest parse(CompletionShape shape, byte[] body, int maxTokensLimit) {
        JsonNode root = parseJson(body);
        if (!root.isObject()) {
            throw malformed("the body is not a JSON object");
        }
        int maxTokens = maxTokens(root);
        if (maxTokens < 1 || maxTokens > maxTokensLimit) {
            throw malformed("max_tokens is not between 1 and " + maxTokensLimit);
        }
        return new CompletionRequest(
                shape,
                requiredText(root, "model"),
                prompt(shape, root),
                maxTokens,
                root.path("stream").asBoolean(false),
                root.path("stream_options").path("include_usage").asBoolean(false),
                root.path("user").asText(""));
    }

    private static JsonNode parseJson(byte[] body) {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            throw malformed("the body is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw malformed("the body is not valid JSON");
        }
    }

    private static int maxTokens(JsonNode root) {
        JsonNode node = root.path("max_completion_tokens");
        if (node.isMissingNode() || node.isNull()) {
            node = root.path("max_tokens");
        }
        if (node.isMissingNode() || node.isNull()) {
            return DEFAULT_MAX_TOKENS;
        }
        if (!node.canConvertToInt()) {
            throw malformed("max_tokens is not an integer");
        }
        return node.asInt();
    }

    private static String prompt(CompletionShape shape, JsonNode root) {
        return shape == CompletionShape.CHAT ? chatPrompt(root) : requiredText(root, "prompt");
    }

    /**
     * Renders all messages in a canonical form, so that equal message prefixes give equal prompt
     * prefixes.
     */
    private static String chatPrompt(JsonNode root) {
        JsonNode messages = root.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw malformed("messages is not a list or is empty");
        }
        StringBuilder prompt = new StringBuilder();
        for (JsonNode message : messages) {
            prompt.append("<|").append(requiredText(message, "role")).append("|>\n");
            appendContent(prompt, message.path("content"));
            prompt.append('\n');
        }
        return prompt.append("<|assistant|>\n").toString();
    }

    private static void appendContent(StringBuilder prompt, JsonNode content) {
        if (content.isTextual()) {
            prompt.append(content.asText());
            return;
        }
        if (!content.isArray()) {
            throw malformed("content is neither a string nor a list of parts");
        }
        for (JsonNode part : content) {
            if (!part.path("type").asText().equals("text")) {
                throw malformed("content has a part of a type other than text");
            }
            prompt.append(requiredText(part, "text"));
        }
    }

    private static String requiredText(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw malformed(field + " is missing or not a string");
        }
        return value.asText();
    }

    private static CatkinException malformed(String message) {
        return CatkinException.notRun(
                ErrorCode.MALFORMED_BODY, Step.PARSE, CatkinException.NO_PEER, message);
    }

    private static ObjectMapper newMapper() {
        ObjectMapper mapper = JsonMapper.builder().build();
        mapper.getFactory()
                .setStreamReadConstraints(
                        StreamReadConstraints.builder()
                                .maxNestingDepth(MAX_DEPTH)
                                .maxStringLength(Integer.MAX_VALUE)
                                .build());
        return mapper;
    }
}
