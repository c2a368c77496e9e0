package org.catkinproxy.daemon;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

import org.catkinproxy.standin.engine.EngineOptions;

import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import java.io.IOException;

/** Input that no caller should send gets an error with a code, and reaches no engine. */
class BadInputTest {
    private static final String COMPLETIONS = "/v1/completions";
    private static final String GOOD = "{\"model\":\"review\",\"prompt\":\"hello\"}";

    private static TestCluster sCluster;

    @BeforeContainer
    static void start() throws IOException {
        sCluster = TestCluster.start(1, 1, EngineOptions.DEFAULT);
    }

    @AfterContainer
    static void stop() {
        if (sCluster != null) {
            sCluster.close();
        }
    }

    @Example
    void malformedBodyIsRefused() throws IOException {
        expect(sCluster.post(0, TestCluster.KEY_LARGE, COMPLETIONS, "{"), 400, "malformed_body");
    }

    @Example
    void unknownModelIsRefused() throws IOException {
        String body = "{\"model\":\"other\",\"prompt\":\"hello\"}";
        expect(sCluster.post(0, TestCluster.KEY_LARGE, COMPLETIONS, body), 404, "unknown_model");
    }

    @Example
    void unknownKeyIsRefused() throws IOException {
        expect(sCluster.post(0, "guess", COMPLETIONS, GOOD), 401, "unknown_key");
    }

    @Example
    void missingKeyIsRefused() throws IOException {
        Request request =
                new Request.Builder()
                        .url(sCluster.url(0) + COMPLETIONS)
                        .post(RequestBody.create(GOOD, MediaType.get("application/json")))
                        .build();
        expect(sCluster.client().newCall(request).execute(), 401, "missing_key");
    }

    @Example
    void wrongContentTypeIsRefused() throws IOException {
        Request request =
                new Request.Builder()
                        .url(sCluster.url(0) + COMPLETIONS)
                        .header("Authorization", "Bearer " + TestCluster.KEY_LARGE)
                        .post(RequestBody.create(GOOD, MediaType.get("text/plain")))
                        .build();
        expect(sCluster.client().newCall(request).execute(), 415, "wrong_content_type");
    }

    @Example
    void oversizedBodyIsRefused() throws IOException {
        String body = "{\"model\":\"review\",\"prompt\":\"" + "x".repeat(9 << 20) + "\"}";
        expect(sCluster.post(0, TestCluster.KEY_LARGE, COMPLETIONS, body), 413, "body_too_large");
    }

    @Example
    void serviceOfOtherWorkspaceIsUnknown() throws IOException {
        expect(
                sCluster.post(0, TestCluster.KEY_SMALL, "/services/register/filings", "{}"),
                404,
                "unknown_service");
    }

    @Example
    void filingWithoutKeyIsRefused() throws IOException {
        expect(
                sCluster.post(0, TestCluster.KEY_LARGE, "/services/register/filings", "{}"),
                400,
                "missing_idempotency_key");
    }

    @Example
    void resumeTokenOfAnotherIsRefused() throws IOException {
        expect(
                sCluster.post(
                        0, TestCluster.KEY_LARGE, COMPLETIONS, GOOD, "Last-Event-ID", "YQ.YQ"),
                400,
                "invalid_resume_token");
    }

    private static void expect(Response response, int status, String code) throws IOException {
        try (response) {
            String body = response.body().string();
            assertThat(body).contains("\"code\":\"" + code + "\"");
            assertThat(body).contains("\"outcome\":\"not_run\"");
            assertThat(response.code()).isEqualTo(status);
        }
        assertThat(sCluster.engine(0).generations()).isEqualTo(0);
    }
}
