package org.catkinproxy.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A caller that behaves as the interface page asks: it asks for entries, keeps the answer a while,
 * continues a broken stream at another entry, and repeats a filing only after {@code not_run}.
 *
 * <p>Used by one thread.
 */
public final class Caller {
    private static final Duration IDLE = Duration.ofSeconds(5);
    private static final Duration CALL = Duration.ofSeconds(15);
    private static final Duration FIRST_PAUSE = Duration.ofMillis(200);
    private static final int MAX_DOUBLINGS = 3;
    private static final AtomicInteger NUMBER = new AtomicInteger();

    private final String mId = "caller-" + NUMBER.incrementAndGet();
    private final List<String> mKnown;
    private final String mKey;
    private final OkHttpClient mStreams = Web.client(IDLE);
    private final OkHttpClient mCalls = Web.bounded(CALL);
    private final OkHttpClient mEntryCalls = Web.bounded(Duration.ofSeconds(1));
    private List<String> mEntries = List.of();
    private long mExpiresNanos;
    private int mTurn;

    /**
     * Creates a caller.
     *
     * @param known addresses of daemons of which it can ask for entries
     * @param key the bearer key
     */
    public Caller(List<String> known, String key) {
        mKnown = List.copyOf(known);
        mKey = key;
    }

    /** Returns the entries to use, best first. */
    public List<String> entries() {
        if (!mEntries.isEmpty() && System.nanoTime() - mExpiresNanos < 0) {
            return mEntries;
        }
        for (int i = 0; i < mKnown.size(); i++) {
            String known = mKnown.get((mTurn + i) % mKnown.size());
            try {
                askForEntries(known);
                return mEntries;
            } catch (IOException e) {
                mTurn++;
            }
        }
        return mEntries.isEmpty() ? mKnown : mEntries;
    }

    /** Forgets the entries, so that the next request asks again. */
    public void forgetEntries() {
        mEntries = List.of();
    }

    /** Streams a completion; a broken stream is continued at the next entry. */
    public StreamOutcome complete(String prompt, int maxTokens, int maxConnections) {
        ObjectNode body = Web.JSON.createObjectNode();
        body.put("model", DemoSheet.MODEL).put("prompt", prompt);
        body.put("max_tokens", maxTokens).put("stream", true);
        StreamReader reader = new StreamReader();
        for (int i = 0; i < maxConnections && !reader.isDone(); i++) {
            if (i > 0) {
                pause(i);
            }
            streamOnce(reader, body, i);
        }
        return reader.outcome();
    }

    /** Streams a completion through one given entry without a second try. */
    public StreamOutcome completeAt(String entry, String prompt, int maxTokens) {
        ObjectNode body = Web.JSON.createObjectNode();
        body.put("model", DemoSheet.MODEL).put("prompt", prompt);
        body.put("max_tokens", maxTokens).put("stream", true);
        StreamReader reader = new StreamReader();
        streamAt(reader, body, entry);
        return reader.outcome();
    }

    /**
     * Makes a filing and returns every answer; the last one says what became of it.
     *
     * @param tries how often it may be sent, all but the first only after {@code not_run}
     */
    public List<FilingAnswer> file(String key, String body, int tries) {
        List<FilingAnswer> answers = new ArrayList<>();
        for (int i = 0; i < tries; i++) {
            FilingAnswer answer = fileOnce(entry(i), key, body);
            answers.add(answer);
            if (!answer.mayBeRepeated()) {
                break;
            }
            pause(i + 1);
        }
        return answers;
    }

    /** Sends a filing to one entry, once. */
    public FilingAnswer fileOnce(String entry, String key, String body) {
        Request request =
                new Request.Builder()
                        .url("http://" + entry + "/services/" + DemoSheet.SERVICE + "/filings")
                        .header("Authorization", "Bearer " + mKey)
                        .header("Idempotency-Key", key)
                        .post(Web.json(body))
                        .build();
        try {
            return FilingAnswer.of(Web.send(mCalls, request));
        } catch (java.net.ConnectException e) {
            return FilingAnswer.NOT_CONNECTED;
        } catch (IOException e) {
            return FilingAnswer.NONE;
        }
    }

    /** Waits before attempt {@code attempt}, twice as long each time up to a limit. */
    private static void pause(int attempt) {
        int doublings = Math.min(attempt - 1, MAX_DOUBLINGS);
        Cluster.sleep(FIRST_PAUSE.multipliedBy(1L << doublings));
    }

    private void streamOnce(StreamReader reader, ObjectNode body, int attempt) {
        streamAt(reader, body, entry(attempt));
    }

    private void streamAt(StreamReader reader, ObjectNode body, String entry) {
        Request.Builder request =
                new Request.Builder()
                        .url("http://" + entry + "/v1/completions")
                        .header("Authorization", "Bearer " + mKey)
                        .post(Web.json(body));
        if (reader.hasEvents()) {
            request.header("Last-Event-ID", reader.lastEventId());
        }
        try (Response response = mStreams.newCall(request.build()).execute()) {
            reader.read(response);
        } catch (IOException e) {
            reader.failed("connection: " + e.getMessage());
            forgetEntries();
            mTurn++;
        }
    }

    private String entry(int attempt) {
        List<String> entries = entries();
        return entries.get(attempt % entries.size());
    }

    private void askForEntries(String known) throws IOException {
        Request request =
                new Request.Builder().url("http://" + known + "/v1/entries?caller=" + mId).build();
        Web.Answer answer = Web.send(mEntryCalls, request);
        List<String> addresses = new ArrayList<>();
        for (JsonNode entry : answer.json().path("entries")) {
            addresses.add(entry.path("address").asText());
        }
        if (!answer.isSuccess() || addresses.isEmpty()) {
            throw new IOException("no entries: " + answer);
        }
        mEntries = addresses;
        Duration ttl = Duration.ofMillis(answer.json().path("ttl_ms").asLong());
        mExpiresNanos = System.nanoTime() + ttl.toNanos();
    }
}
