package org.catkinproxy.demo;

import com.fasterxml.jackson.databind.JsonNode;

import okhttp3.Response;
import okio.BufferedSource;

import java.io.IOException;
import java.time.Duration;

/**
 * Collects the events of one streamed request, over several connections.
 *
 * <p>Used by one thread.
 */
final class StreamReader {
    private static final String DONE = "[DONE]";

    private final long mStartNanos = System.nanoTime();
    private final StringBuilder mText = new StringBuilder();
    private Duration mFirstToken = Duration.ZERO;
    private String mEngine = "";
    private int mCachedTokens;
    private String mLastEventId = "";
    private String mPendingId = "";
    private int mStatus;
    private int mConnections;
    private boolean mDone;
    private String mError = "";
    private String mRefusal = "";

    /** Reads an answer to its end; an exception leaves what was received so far. */
    void read(Response response) throws IOException {
        mConnections++;
        mStatus = response.code();
        mError = "";
        mRefusal = "";
        if (!response.isSuccessful()) {
            takeError(Web.JSON.readTree(response.body().string()));
            return;
        }
        if (mEngine.isEmpty()) {
            mEngine = response.header("Catkin-Engine", "");
            mCachedTokens = Integer.parseInt(response.header("Catkin-Cached-Tokens", "0"));
        }
        BufferedSource source = response.body().source();
        String line = source.readUtf8Line();
        while (line != null && !mDone) {
            takeLine(line);
            line = source.readUtf8Line();
        }
        if (!mDone && mError.isEmpty()) {
            throw new IOException("the stream ended without its last event");
        }
    }

    /** Tells whether any event was received. */
    boolean hasEvents() {
        return !mLastEventId.isEmpty();
    }

    String lastEventId() {
        return mLastEventId;
    }

    boolean isDone() {
        return mDone;
    }

    int status() {
        return mStatus;
    }

    void failed(String error) {
        mError = error;
        mRefusal = "";
        mStatus = 0;
    }

    StreamOutcome outcome() {
        return new StreamOutcome(
                mStatus,
                mEngine,
                mCachedTokens,
                mFirstToken,
                mText.toString(),
                mDone,
                mConnections,
                mError,
                mRefusal);
    }

    private void takeLine(String line) throws IOException {
        if (line.startsWith("id:")) {
            mPendingId = line.substring(3).strip();
        } else if (line.startsWith("data:")) {
            takeData(line.substring(5).strip());
        }
    }

    private void takeData(String data) throws IOException {
        if (data.equals(DONE)) {
            mDone = true;
            return;
        }
        JsonNode event = Web.JSON.readTree(data);
        if (event.has("error")) {
            takeError(event);
            return;
        }
        JsonNode choice = event.path("choices").path(0);
        String text = choice.path("text").asText(choice.path("delta").path("content").asText(""));
        if (!text.isEmpty() && mText.length() == 0) {
            mFirstToken = Duration.ofNanos(System.nanoTime() - mStartNanos);
        }
        mText.append(text);
        if (!mPendingId.isEmpty()) {
            mLastEventId = mPendingId;
        }
    }

    private void takeError(JsonNode body) {
        JsonNode error = body.path("error");
        mError = error.path("code").asText("unnamed");
        mRefusal = error.path("outcome").asText();
    }
}
