package org.catkinproxy.daemon;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import okhttp3.Response;
import okio.BufferedSource;

import java.io.IOException;

/** Reads a streamed completion as a careful caller does. */
final class SseReader implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Response mResponse;
    private final BufferedSource mSource;
    private final StringBuilder mText = new StringBuilder();
    private String mLastId = "";
    private boolean mComplete;
    private boolean mFailed;

    SseReader(Response response) {
        mResponse = response;
        mSource = response.body().source();
    }

    int status() {
        return mResponse.code();
    }

    String header(String name) {
        return mResponse.header(name);
    }

    String text() {
        return mText.toString();
    }

    String lastId() {
        return mLastId;
    }

    boolean isComplete() {
        return mComplete;
    }

    boolean isFailed() {
        return mFailed;
    }

    /** Reads to the end of the stream. */
    SseReader readAll() throws IOException {
        while (readLine()) {
            // Each line is taken note of as it comes.
        }
        return this;
    }

    /** Reads until so many tokens have come. */
    SseReader readTokens(int count) throws IOException {
        int seen = 0;
        while (seen < count) {
            int length = mText.length();
            if (!readLine()) {
                throw new IOException("the stream ended after " + seen + " tokens");
            }
            seen += mText.length() > length ? 1 : 0;
        }
        return this;
    }

    @Override
    public void close() {
        mResponse.close();
    }

    private boolean readLine() throws IOException {
        String line = mSource.readUtf8Line();
        if (line == null) {
            return false;
        }
        if (line.startsWith("id: ")) {
            mLastId = line.substring(4);
        } else if (line.equals("data: [DONE]")) {
            mComplete = true;
        } else if (line.startsWith("data: ")) {
            JsonNode data = MAPPER.readTree(line.substring(6));
            mFailed |= data.has("error");
            mText.append(data.path("choices").path(0).path("text").asText(""));
        }
        return true;
    }
}
