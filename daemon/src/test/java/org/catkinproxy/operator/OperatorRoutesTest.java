package org.catkinproxy.operator;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.hash.Hashing;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;

import org.catkinproxy.http.HttpLimits;
import org.catkinproxy.http.HttpListener;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

class OperatorRoutesTest {
    private static final OkHttpClient CLIENT = new OkHttpClient();
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String SHEET =
            "kind,workspace,model,adapter,version,pool,instance,service,match,value\n"
                    + "workspace,depot,,,,,,,,share=2\n";
    private static final OperatorKeys KEYS =
            OperatorKeys.of(Map.of("alice", digest("key-a"), "bob", digest("key-b")));

    private final FakeOperatorPorts mFake = new FakeOperatorPorts();
    private HttpListener mListener;

    @BeforeProperty
    void open() {
        mListener =
                HttpListener.open(
                        "127.0.0.1",
                        0,
                        new HttpLimits(100_000, 8_192, 5_000, 100),
                        Optional.empty(),
                        OperatorRoutes.create(KEYS, mFake.ports())::addTo);
    }

    @AfterProperty
    void close() {
        if (mListener != null) {
            mListener.close();
        }
    }

    @AfterContainer
    static void closeConnections() {
        CLIENT.connectionPool().evictAll();
    }

    @Example
    void everyRouteWantsAnOperatorsKey() throws IOException {
        List<String> paths =
                List.of(
                        "/operator/status",
                        "/operator/workspaces",
                        "/operator/models",
                        "/operator/engines",
                        "/operator/instances",
                        "/operator/burn",
                        "/operator/sheet",
                        "/operator/sheet/1",
                        "/operator/sheet/history",
                        "/operator/revisions",
                        "/operator/calls",
                        "/operator/calls/w/k",
                        "/metrics");
        for (String path : paths) {
            Answer answer = send("GET", path, "wrong", null);
            assertThat(answer.status()).isEqualTo(401);
            assertThat(answer.code()).isEqualTo("unknown_key");
        }
        assertThat(send("POST", "/operator/stop/entry-2", "wrong", "").status()).isEqualTo(401);
        assertThat(mFake.mChanges).isEmpty();
    }

    @Example
    void acceptsShowsAndRefusesSheets() throws IOException {
        assertThat(send("GET", "/operator/sheet", "key-a", null).status()).isEqualTo(404);
        Answer accepted = send("POST", "/operator/sheet/apply?expect=0", "key-a", SHEET);
        assertThat(accepted.json().path("revision").longValue()).isEqualTo(1);
        assertThat(send("GET", "/operator/sheet/1", "key-a", null).body()).isEqualTo(SHEET);
        Answer conflict = send("POST", "/operator/sheet/apply?expect=0", "key-b", SHEET);
        assertThat(conflict.status()).isEqualTo(409);
        assertThat(conflict.code()).isEqualTo("revision_conflict");
        JsonNode workspaces = send("GET", "/operator/workspaces", "key-a", null).json();
        assertThat(workspaces.path(0).path("workspace").textValue()).isEqualTo("depot");
        assertThat(mFake.mChanges).containsExactly("alice applies");
    }

    @Example
    void invalidSheetIsNotStored() throws IOException {
        String bad = SHEET + "workspace,portal,,,,,,,,share=none\n";
        Answer checked = send("POST", "/operator/sheet/check", "key-a", bad);
        assertThat(checked.json().path("errors").path(0).path("row").intValue()).isEqualTo(3);
        Answer refused = send("POST", "/operator/sheet/apply?expect=0", "key-a", bad);
        assertThat(refused.status()).isEqualTo(422);
        assertThat(mFake.mSheets).isEmpty();
    }

    @Example
    void applyWantsTheExpectedRevision() throws IOException {
        Answer answer = send("POST", "/operator/sheet/apply", "key-a", SHEET);
        assertThat(answer.status()).isEqualTo(400);
        assertThat(mFake.mSheets).isEmpty();
    }

    @Example
    void resolvesCallsOnlyWithWordAndNote() throws IOException {
        String path = "/operator/calls/depot/key-1/resolve";
        assertThat(send("POST", path, "key-a", "{\"note\":\"seen\"}").status()).isEqualTo(400);
        assertThat(send("POST", path, "key-a", "{\"ran\":true}").status()).isEqualTo(400);
        Answer settled = send("POST", path, "key-b", "{\"ran\":true,\"note\":\"seen\"}");
        assertThat(settled.json().path("note").textValue()).isEqualTo("seen");
        assertThat(mFake.mChanges).containsExactly("bob settles depot/key-1 true");
    }

    @Example
    void beginsPlannedStops() throws IOException {
        Answer answer = send("POST", "/operator/stop/entry-2", "key-a", "");
        assertThat(answer.json().path("state").textValue()).isEqualTo("leaving");
        assertThat(mFake.mChanges).containsExactly("alice stops entry-2");
    }

    @Property(seed = "1", tries = 50)
    void anyBodyIsAnsweredOrTypedError(@ForAll String body) throws IOException {
        Answer answer = send("POST", "/operator/explain", "key-a", body);
        assertThat(answer.status()).isEqualTo(400);
        assertThat(answer.code()).isEqualTo("malformed_body");
    }

    private Answer send(String method, String path, String key, String body) throws IOException {
        Request request =
                new Request.Builder()
                        .url("http://127.0.0.1:" + mListener.port() + path)
                        .header("Authorization", "Bearer " + key)
                        .method(method, body == null ? null : RequestBody.create(body, null))
                        .build();
        try (Response response = CLIENT.newCall(request).execute()) {
            return new Answer(response.code(), response.body().string());
        }
    }

    private static String digest(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }

    private record Answer(int status, String body) {
        JsonNode json() throws IOException {
            return MAPPER.readTree(body);
        }

        String code() throws IOException {
            return json().path("error").path("code").textValue();
        }
    }
}
