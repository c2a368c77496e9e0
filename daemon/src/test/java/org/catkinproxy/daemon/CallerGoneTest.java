package org.catkinproxy.daemon;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

import org.catkinproxy.standin.Tokens;
import org.catkinproxy.standin.engine.EngineOptions;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import java.io.IOException;

/** Work for a caller that went away is cancelled, far sooner than it would end by itself. */
class CallerGoneTest {
    private static final int TOKENS_PER_SECOND = 1;

    /** Longer than the test waits for anything. */
    private static final int LONG_ANSWER_TOKENS = 120;

    private TestCluster mCluster;

    @BeforeTry
    void start() throws IOException {
        mCluster =
                TestCluster.start(
                        1, 1, EngineOptions.DEFAULT.withSpeeds(100_000, TOKENS_PER_SECOND));
    }

    @AfterTry
    void stop() {
        mCluster.close();
    }

    @Example
    void wholeAnswerIsCancelled() {
        expectCancellation(false);
    }

    @Example
    void streamIsCancelled() {
        expectCancellation(true);
    }

    private void expectCancellation(boolean stream) {
        Call call = mCluster.client().newCall(request(stream));
        call.enqueue(new Ignoring());
        TestCluster.await(() -> running() == 1);
        call.cancel();
        TestCluster.await(() -> running() == 0);
        assertThat(mCluster.engine(0).generations()).isEqualTo(1);
    }

    private int running() {
        Request load = new Request.Builder().url(mCluster.engine(0).url() + "/v1/load").build();
        try (Response response = mCluster.client().newCall(load).execute()) {
            String body = response.body().string();
            return Integer.parseInt(body.replaceAll(".*\"running\":(\\d+).*", "$1"));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private Request request(boolean stream) {
        String body =
                String.format(
                        "{\"model\":\"review\",\"prompt\":\"%s\",\"max_tokens\":%d,"
                                + "\"stream\":%b}",
                        longPrompt(), LONG_ANSWER_TOKENS, stream);
        return new Request.Builder()
                .url(mCluster.url(0) + "/v1/completions")
                .header("Authorization", "Bearer " + TestCluster.KEY_LARGE)
                .post(RequestBody.create(body, MediaType.get("application/json")))
                .build();
    }

    /** Returns a prompt whose answer is long. */
    private static String longPrompt() {
        int n = 0;
        while (Tokens.of("prompt " + n, TestCluster.WEIGHTS).naturalLength() < LONG_ANSWER_TOKENS) {
            n++;
        }
        return "prompt " + n;
    }

    /** Takes no interest in the answer. */
    private static final class Ignoring implements Callback {
        @Override
        public void onFailure(Call call, IOException e) {
            // The test itself cancels the call.
        }

        @Override
        public void onResponse(Call call, Response response) {
            // Left open: the caller goes away before it has read the answer.
        }
    }
}
