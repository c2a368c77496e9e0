package org.catkinproxy.calls;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.Hashing;

import org.catkinproxy.call.CallRecord;
import org.catkinproxy.call.CallResolution;
import org.catkinproxy.call.CallResponse;
import org.catkinproxy.call.CallState;
import org.catkinproxy.id.AttemptId;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.ServiceId;

import java.util.Base64;
import java.util.Locale;
import java.util.Optional;

/**
 * Converts call records to the JSON of their rows and back.
 *
 * <p>A response body larger than {@link #MAX_INLINE_BYTES} is stored as an object, and the row
 * holds the object's name instead of the body. Stateless; safe for use by any thread.
 */
final class CallCodec {
    /** The largest response body, in bytes, that is stored in the row. */
    static final int MAX_INLINE_BYTES = 48 << 10;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private CallCodec() {}

    /** Returns whether the record's response body must be stored as an object. */
    static boolean needsBodyObject(CallRecord record) {
        return record.response().filter(r -> r.body().length > MAX_INLINE_BYTES).isPresent();
    }

    /** Returns the object name for a response body, which is derived from the body's digest. */
    static String bodyObjectName(byte[] body) {
        return "call-answer-" + Hashing.sha256().hashBytes(body);
    }

    /** Encodes a record as the JSON text of its row. */
    static String encode(CallRecord record) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("state", record.state().wireName());
        json.put("attempt", record.attempt().value());
        json.put("router", record.router().value());
        json.put("service", record.service().value());
        json.put("operation", record.operation());
        json.put("digest", record.digest());
        json.put("createdMs", record.createdMillis());
        record.response().ifPresent(r -> encodeResponse(json.putObject("answer"), r));
        record.resolution().ifPresent(r -> encodeResolution(json.putObject("resolution"), r));
        return json.toString();
    }

    /**
     * Returns the name of the object that holds the row's response body, or empty if there is none.
     */
    static Optional<String> referencedObject(String row) {
        JsonNode object = parse(row).path("answer").path("object");
        return object.isTextual() ? Optional.of(object.asText()) : Optional.empty();
    }

    /**
     * Decodes the record in a row.
     *
     * @param object the content of the object that the row refers to, or an empty array if there is
     *     none
     * @throws IllegalArgumentException if the row is not a valid call record
     */
    static CallRecord decode(String row, byte[] object) {
        JsonNode json = parse(row);
        CallState state = CallState.valueOf(requiredText(json, "state").toUpperCase(Locale.ROOT));
        return new CallRecord(
                state,
                AttemptId.of(requiredText(json, "attempt")),
                InstanceId.of(requiredText(json, "router")),
                ServiceId.of(requiredText(json, "service")),
                requiredText(json, "operation"),
                requiredText(json, "digest"),
                json.path("createdMs").asLong(),
                state == CallState.DONE
                        ? Optional.of(decodeResponse(json.path("answer"), object))
                        : Optional.empty(),
                state == CallState.RESOLVED
                        ? Optional.of(decodeResolution(json.path("resolution")))
                        : Optional.empty());
    }

    private static void encodeResponse(ObjectNode json, CallResponse response) {
        json.put("status", response.status());
        json.put("contentType", response.contentType());
        if (response.body().length > MAX_INLINE_BYTES) {
            json.put("object", bodyObjectName(response.body()));
        } else {
            json.put("body", Base64.getEncoder().encodeToString(response.body()));
        }
    }

    private static CallResponse decodeResponse(JsonNode json, byte[] object) {
        byte[] body =
                json.has("object")
                        ? object
                        : Base64.getDecoder().decode(requiredText(json, "body"));
        return new CallResponse(
                json.path("status").asInt(), requiredText(json, "contentType"), body);
    }

    private static void encodeResolution(ObjectNode json, CallResolution resolution) {
        json.put("ran", resolution.ran());
        json.put("note", resolution.note());
        json.put("operator", resolution.operator());
        json.put("atMs", resolution.resolvedMillis());
    }

    private static CallResolution decodeResolution(JsonNode json) {
        return new CallResolution(
                json.path("ran").asBoolean(),
                requiredText(json, "note"),
                requiredText(json, "operator"),
                json.path("atMs").asLong());
    }

    private static JsonNode parse(String row) {
        try {
            return MAPPER.readTree(row);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("the row is not valid JSON", e);
        }
    }

    private static String requiredText(JsonNode json, String field) {
        JsonNode value = json.path(field);
        if (!value.isTextual()) {
            throw new IllegalArgumentException("the row has no string field '" + field + "'");
        }
        return value.asText();
    }
}
