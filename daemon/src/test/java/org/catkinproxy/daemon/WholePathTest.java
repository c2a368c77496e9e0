package org.catkinproxy.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

import org.catkinproxy.standin.Tokens;
import org.catkinproxy.standin.engine.EngineOptions;

import okhttp3.Response;

import java.io.IOException;
import java.util.stream.Collectors;

/** The whole path: client, daemon, engine and service, each over real sockets. */
class WholePathTest {
    private static final String LONG_TEXT = "The listing standard, clause by clause. ".repeat(400);
    private static final int MAX_TOKENS = 40;

    private static TestCluster sCluster;

    @BeforeContainer
    static void start() throws IOException {
        sCluster = TestCluster.start(2, 1, EngineOptions.DEFAULT);
    }

    @AfterContainer
    static void stop() {
        if (sCluster != null) {
            sCluster.close();
        }
    }

    @Example
    void openAiClientStreamsWholeCompletion() {
        try (StreamResponse<ChatCompletionChunk> stream =
                client().chat().completions().createStreaming(params("stream " + LONG_TEXT))) {
            String text =
                    stream.stream()
                            .flatMap(chunk -> chunk.choices().stream())
                            .map(choice -> choice.delta().content().orElse(""))
                            .collect(Collectors.joining());
            assertThat(text).isEqualTo(expected("stream " + LONG_TEXT));
        }
    }

    @Example
    void openAiClientGetsWholeCompletionAtOnce() {
        ChatCompletion completion =
                client().chat().completions().create(params("whole " + LONG_TEXT));
        assertThat(completion.choices().get(0).message().content())
                .hasValue(expected("whole " + LONG_TEXT));
    }

    @Example
    void samePromptAgainIsServedFromCache() throws IOException {
        assertThat(cachedTokens("again " + LONG_TEXT)).isEqualTo(0);
        TestCluster.await(() -> cachedTokensOrFail("again " + LONG_TEXT) >= 3_072);
    }

    @Example
    void filingIsExecutedOnceAndAnsweredAgainFromItsRecord() throws IOException {
        String first = file("filing-1", "{\"coating\":7}");
        String second = file("filing-1", "{\"coating\":7}");
        assertThat(second).isEqualTo(first);
        assertThat(sCluster.service().executions("filing-1")).isEqualTo(1);
    }

    @Example
    void filingWithUsedKeyAndOtherBodyIsRefused() throws IOException {
        file("filing-2", "{\"coating\":7}");
        try (Response response = sendFiling("filing-2", "{\"coating\":8}")) {
            assertThat(response.code()).isEqualTo(422);
            assertThat(response.body().string()).contains("idempotency_key_reused");
        }
        assertThat(sCluster.service().executions("filing-2")).isEqualTo(1);
    }

    private static String file(String key, String body) throws IOException {
        try (Response response = sendFiling(key, body)) {
            assertThat(response.code()).isEqualTo(201);
            return response.body().string();
        }
    }

    private static Response sendFiling(String key, String body) throws IOException {
        return sCluster.post(
                0,
                TestCluster.KEY_LARGE,
                "/services/register/filings",
                body,
                "Idempotency-Key",
                key);
    }

    private static int cachedTokensOrFail(String prompt) {
        try {
            return cachedTokens(prompt);
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    private static int cachedTokens(String prompt) throws IOException {
        String body = "{\"model\":\"review\",\"max_tokens\":4,\"prompt\":\"" + prompt + "\"}";
        try (Response response = sCluster.post(0, TestCluster.KEY_LARGE, "/v1/completions", body)) {
            assertThat(response.code()).isEqualTo(200);
            return Integer.parseInt(response.header("Catkin-Cached-Tokens"));
        }
    }

    private static OpenAIClient client() {
        return OpenAIOkHttpClient.builder()
                .baseUrl(sCluster.url(0) + "/v1")
                .apiKey(TestCluster.KEY_LARGE)
                .maxRetries(0)
                .build();
    }

    private static ChatCompletionCreateParams params(String text) {
        return ChatCompletionCreateParams.builder()
                .model("review")
                .maxCompletionTokens(MAX_TOKENS)
                .addUserMessage(text)
                .build();
    }

    /** Returns what the engines generate for a chat with one user message. */
    private static String expected(String text) {
        String prompt = "<|user|>\n" + text + "\n<|assistant|>\n";
        Tokens tokens = Tokens.of(prompt, TestCluster.WEIGHTS);
        StringBuilder whole = new StringBuilder();
        for (int n = 1; n <= tokens.length(MAX_TOKENS); n++) {
            whole.append(tokens.token(n));
        }
        return whole.toString();
    }
}
