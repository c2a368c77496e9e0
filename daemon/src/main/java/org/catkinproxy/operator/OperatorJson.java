package org.catkinproxy.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;

/** Reads and writes the messages of the operator interface. Stateless; thread-safe. */
final class OperatorJson {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS).build();

    private OperatorJson() {}

    static String write(Object message) {
        try {
            return MAPPER.writeValueAsString(message);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of plain values is always writable", e);
        }
    }

    /** Reads a message, which must have no unknown field. */
    static <T> T read(String body, Class<T> type) {
        T message;
        try {
            message = MAPPER.readValue(body, type);
        } catch (JsonProcessingException e) {
            throw malformed(e.getOriginalMessage());
        }
        if (message == null) {
            throw malformed("the body is null");
        }
        return message;
    }

    static CatkinException malformed(String message) {
        return CatkinException.notRun(
                ErrorCode.MALFORMED_BODY, Step.PARSE, CatkinException.NO_PEER, message);
    }
}
