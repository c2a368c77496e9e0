package org.catkinproxy.caller;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** The request and response formats of the OpenAI API's two completion endpoints. Immutable. */
enum CompletionShape {
    /** The format of {@code /v1/chat/completions}. */
    CHAT("chatcmpl-", "chat.completion", "chat.completion.chunk") {
        @Override
        void putText(ObjectNode choice, String text) {
            choice.putObject("message").put("role", "assistant").put("content", text);
        }

        @Override
        void putDelta(ObjectNode choice, String text) {
            choice.putObject("delta").put("role", "assistant").put("content", text);
        }

        @Override
        void putEmptyDelta(ObjectNode choice) {
            choice.putObject("delta");
        }
    },
    /** The format of {@code /v1/completions}. */
    TEXT("cmpl-", "text_completion", "text_completion") {
        @Override
        void putText(ObjectNode choice, String text) {
            choice.put("text", text);
        }

        @Override
        void putDelta(ObjectNode choice, String text) {
            choice.put("text", text);
        }

        @Override
        void putEmptyDelta(ObjectNode choice) {
            choice.put("text", "");
        }
    };

    private final String mIdPrefix;
    private final String mResponseObject;
    private final String mChunkObject;

    CompletionShape(String idPrefix, String wholeObject, String chunkObject) {
        mIdPrefix = idPrefix;
        mResponseObject = wholeObject;
        mChunkObject = chunkObject;
    }

    abstract void putText(ObjectNode choice, String text);

    abstract void putDelta(ObjectNode choice, String text);

    abstract void putEmptyDelta(ObjectNode choice);

    ObjectNode newResponse(String request, String model, long createdSeconds) {
        return newObject(request, model, createdSeconds, mResponseObject);
    }

    ObjectNode newChunk(String request, String model, long createdSeconds) {
        return newObject(request, model, createdSeconds, mChunkObject);
    }

    private ObjectNode newObject(String request, String model, long createdSeconds, String object) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("id", mIdPrefix + request)
                .put("object", object)
                .put("created", createdSeconds)
                .put("model", model);
    }
}
