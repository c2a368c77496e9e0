package org.catkinproxy.daemon;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

import org.catkinproxy.standin.Fault;
import org.catkinproxy.standin.Tokens;
import org.catkinproxy.standin.engine.EngineOptions;

import okhttp3.Response;

import java.io.IOException;
import java.time.Duration;

/** Streams stay whole and in order over real sockets, whatever happens to connections. */
class StreamFailureTest {
    private static final String PROMPT = "Check the fire door coating.";
    private static final int MAX_TOKENS = 60;
    private static final int TOKENS_PER_SECOND = 60;

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
    void lostTokenIsFetchedAgain() throws IOException {
        expectWholeStreamUnder("token_gap");
    }

    @Example
    void repeatedTokenIsDeliveredOnce() throws IOException {
        expectWholeStreamUnder("token_repeat");
    }

    @Example
    void crossedTokensAreDeliveredInOrder() throws IOException {
        expectWholeStreamUnder("token_crossed");
    }

    @Example
    void tokenOfAnotherRequestIsNotDelivered() throws IOException {
        expectWholeStreamUnder("wrong_request");
    }

    @Example
    void answerFromOtherWeightsIsNotDelivered() throws IOException {
        int engine;
        try (SseReader first = open(0)) {
            expectWhole(first.readAll());
            engine = engineIndex(first);
        }
        mCluster.engine(engine).fault(Fault.of("wrong_weights").times(1));
        try (SseReader second = open(0)) {
            expectWhole(second.readAll());
        }
    }

    @Example
    void truncatedAnswerIsNotTakenAsComplete() throws IOException {
        expectWholeStreamUnder("truncate");
    }

    @Example
    void cutConnectionIsContinued() throws IOException {
        expectWholeStreamUnder("cut");
    }

    @Example
    void silentConnectionIsAbandonedForNewOne() throws IOException {
        try (SseReader stream = open(0)) {
            stream.readTokens(3);
            mCluster.engine(0).fault(Fault.of("silence"));
            mCluster.engine(1).fault(Fault.of("silence"));
            expectWhole(stream.readAll());
        }
    }

    @Example
    void crashedEngineIsReplacedInMidStream() throws IOException {
        try (SseReader stream = open(0)) {
            stream.readTokens(3);
            mCluster.engine(engineIndex(stream)).fault(crash());
            expectWhole(stream.readAll());
        }
    }

    @Example
    void callerGoesOnAtAnotherRouterWhenItsOwnIsGone() throws IOException {
        String id;
        String beginning;
        try (SseReader stream = open(0)) {
            stream.readTokens(5);
            mCluster.daemon(0).close();
            id = stream.lastId();
            beginning = stream.text();
        }
        try (SseReader rest = open(1, "Last-Event-ID", id)) {
            rest.readAll();
            assertThat(rest.isComplete()).isTrue();
            assertThat(beginning + rest.text()).isEqualTo(expected());
        }
    }

    @Example
    void streamWhoseRouterAndEngineAreBothGoneFailsAloud() throws IOException {
        String id;
        int engine;
        try (SseReader stream = open(0)) {
            stream.readTokens(5);
            mCluster.daemon(0).close();
            id = stream.lastId();
            engine = engineIndex(stream);
        }
        mCluster.engine(engine).fault(crash());
        try (SseReader rest = open(1, "Last-Event-ID", id)) {
            rest.readAll();
            assertThat(rest.isComplete()).isFalse();
            assertThat(rest.status()).isEqualTo(502);
        }
    }

    private void expectWholeStreamUnder(String fault) throws IOException {
        mCluster.engine(0).fault(Fault.of(fault).times(1));
        mCluster.engine(1).fault(Fault.of(fault).times(1));
        try (SseReader stream = open(0)) {
            expectWhole(stream.readAll());
        }
    }

    private static void expectWhole(SseReader stream) {
        assertThat(stream.isFailed()).isFalse();
        assertThat(stream.isComplete()).isTrue();
        assertThat(stream.text()).isEqualTo(expected());
    }

    private static Fault crash() {
        return Fault.of("crash").delayed(Duration.ofMillis(200));
    }

    private int engineIndex(SseReader stream) {
        String name = stream.header("Catkin-Engine");
        return Integer.parseInt(name.substring(name.length() - 1));
    }

    private SseReader open(int daemon, String... headers) throws IOException {
        String body =
                String.format(
                        "{\"model\":\"review\",\"prompt\":\"%s\",\"max_tokens\":%d,"
                                + "\"stream\":true}",
                        PROMPT, MAX_TOKENS);
        Response response =
                mCluster.post(daemon, TestCluster.KEY_LARGE, "/v1/completions", body, headers);
        return new SseReader(response);
    }

    private static String expected() {
        Tokens tokens = Tokens.of(PROMPT, TestCluster.WEIGHTS);
        StringBuilder whole = new StringBuilder();
        for (int n = 1; n <= tokens.length(MAX_TOKENS); n++) {
            whole.append(tokens.token(n));
        }
        return whole.toString();
    }
}
