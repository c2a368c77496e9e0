package org.catkinproxy.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.error.CatkinException;

/** Encodes errors in the JSON format that all HTTP interfaces share. Stateless and thread-safe. */
public final class ErrorBody {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ErrorBody() {}

    /** Returns the JSON body of an error response. */
    public static String toJson(CatkinException error) {
        ObjectNode root = MAPPER.createObjectNode();
        root.putObject("error")
                .put("code", error.code().wireName())
                .put("type", error.code().wireName())
                .put("message", error.getMessage())
                .put("step", error.step().wireName())
                .put("peer", error.peer())
                .put("outcome", error.outcome().wireName());
        try {
            return MAPPER.writeValueAsString(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a JSON tree of strings could not be serialized", e);
        }
    }
}
