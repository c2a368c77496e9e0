package org.catkinproxy.daemon;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

import org.catkinproxy.standin.Fault;
import org.catkinproxy.standin.Tokens;
import org.catkinproxy.standin.engine.EngineOptions;

import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Planned stops of whole daemons and of engines, over real sockets. */
class PlannedStopTest {
    private static final String PROMPT = "Sum up the shift.";
    private static final int MAX_TOKENS = 100;
    private static final int TOKENS_PER_SECOND = 20;
    private static final int REQUESTS = 12;
    private static final long PATIENCE_SECONDS = 60;

    private TestCluster mCluster;

    @BeforeTry
    void start() throws IOException {
        EngineOptions options = EngineOptions.DEFAULT.withSpeeds(100_000, TOKENS_PER_SECOND);
        mCluster = TestCluster.start(2, 2, options);
    }

    @AfterTry
    void stop() {
        mCluster.close();
    }

    @Example
    void stopOfRouterLetsItsStreamEnd() throws IOException {
        try (SseReader stream = open(0)) {
            stream.readTokens(3);
            mCluster.daemon(0).stop();
            expectWhole(stream.readAll());
        }
        expectLeft();
    }

    @Example
    void connectionThatGoesSilentDuringStopIsReplaced() throws IOException {
        try (SseReader stream = open(0)) {
            stream.readTokens(3);
            mCluster.daemon(0).stop();
            mCluster.engine(0).fault(Fault.of("silence"));
            mCluster.engine(1).fault(Fault.of("silence"));
            expectWhole(stream.readAll());
        }
        expectLeft();
    }

    @Example
    void engineStoppedAtOneRouterGetsNoNewWorkFromAnyAndEndsItsStream() throws IOException {
        try (SseReader stream = open(0)) {
            stream.readTokens(3);
            String engine = stream.header("Catkin-Engine");
            int index = Integer.parseInt(engine.substring(engine.length() - 1));
            askToStop(engine);
            TestCluster.await(() -> mCluster.candidates(0) == 1);
            TestCluster.await(() -> mCluster.candidates(1) == 1);
            long before = mCluster.engine(index).generations();
            for (int i = 0; i < REQUESTS; i++) {
                complete(i % 2, "request " + i);
            }
            assertThat(mCluster.engine(index).generations()).isEqualTo(before);
            expectWhole(stream.readAll());
        }
    }

    private void askToStop(String engine) throws IOException {
        Request request =
                new Request.Builder()
                        .url(
                                "http://127.0.0.1:"
                                        + mCluster.daemon(0).operatorPort()
                                        + "/operator/stop/"
                                        + engine)
                        .header("Authorization", "Bearer " + TestCluster.KEY_OPERATOR)
                        .post(RequestBody.create("", MediaType.get("application/json")))
                        .build();
        try (Response response = mCluster.client().newCall(request).execute()) {
            assertThat(response.code()).isEqualTo(200);
        }
    }

    private void complete(int daemon, String prompt) throws IOException {
        String body =
                String.format("{\"model\":\"review\",\"prompt\":\"%s\",\"max_tokens\":1}", prompt);
        try (Response response =
                mCluster.post(daemon, TestCluster.KEY_LARGE, "/v1/completions", body)) {
            assertThat(response.code()).isEqualTo(200);
        }
    }

    private SseReader open(int daemon) throws IOException {
        String body =
                String.format(
                        "{\"model\":\"review\",\"prompt\":\"%s\",\"max_tokens\":%d,"
                                + "\"stream\":true}",
                        PROMPT, MAX_TOKENS);
        return new SseReader(mCluster.post(daemon, TestCluster.KEY_LARGE, "/v1/completions", body));
    }

    private void expectLeft() {
        boolean left = mCluster.daemon(0).left().blockingAwait(PATIENCE_SECONDS, TimeUnit.SECONDS);
        assertThat(left).isTrue();
    }

    private static void expectWhole(SseReader stream) {
        Tokens tokens = Tokens.of(PROMPT, TestCluster.WEIGHTS);
        StringBuilder whole = new StringBuilder();
        for (int n = 1; n <= tokens.length(MAX_TOKENS); n++) {
            whole.append(tokens.token(n));
        }
        assertThat(stream.isComplete()).isTrue();
        assertThat(stream.text()).isEqualTo(whole.toString());
    }
}
