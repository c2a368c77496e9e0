package org.catkinproxy.daemon;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

import org.catkinproxy.standin.engine.EngineOptions;

import okhttp3.Request;
import okhttp3.Response;

import java.io.IOException;
import java.util.HashSet;
import java.util.Set;

/** What operators see of running daemons, over real sockets. */
class OperatorPathTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static TestCluster sCluster;

    @BeforeContainer
    static void start() throws IOException {
        sCluster = TestCluster.start(1, 2, EngineOptions.DEFAULT);
    }

    @AfterContainer
    static void stop() {
        if (sCluster != null) {
            sCluster.close();
        }
    }

    @Example
    void answeredRequestIsInBurnReportAndMetrics() throws IOException {
        String body =
                "{\"model\":\"review\",\"max_tokens\":4,\"prompt\":\"How long does it dry?\"}";
        try (Response r = sCluster.post(0, TestCluster.KEY_SMALL, "/v1/completions", body)) {
            assertThat(r.code()).isEqualTo(200);
        }
        JsonNode burn = MAPPER.readTree(get(0, "/operator/burn"));
        JsonNode cell = burn.path("cells").path(0);
        assertThat(cell.path("workspace").textValue()).isEqualTo("small");
        assertThat(cell.path("longWindow").path("answered").longValue()).isEqualTo(1);
        assertThat(burn.path("objectives").has("small")).isTrue();
        assertThat(get(0, "/metrics"))
                .contains("requests_total{outcome=\"answered\",workspace=\"small\"} 1.0");
    }

    @Example
    void everyDaemonTellsWhereOperatorsReachAllDaemons() {
        Set<String> wanted = new HashSet<>();
        wanted.add("127.0.0.1:" + sCluster.daemon(0).operatorPort());
        wanted.add("127.0.0.1:" + sCluster.daemon(1).operatorPort());
        TestCluster.await(() -> operatorAddresses(0).equals(wanted));
        TestCluster.await(() -> operatorAddresses(1).equals(wanted));
    }

    @Example
    void daemonThatLeftIsNotCountedAsBehind() throws IOException {
        try (TestCluster cluster = TestCluster.start(1, 2, EngineOptions.DEFAULT)) {
            TestCluster.await(() -> revisions(cluster).equals(Set.of("entry-0", "entry-1")));
            cluster.daemon(1).stop();
            cluster.daemon(1).left().blockingAwait();
            cluster.daemon(1).close();
            TestCluster.await(() -> revisions(cluster).equals(Set.of("entry-0")));
        }
    }

    private static Set<String> revisions(TestCluster cluster) {
        Set<String> instances = new HashSet<>();
        try {
            for (JsonNode r : MAPPER.readTree(get(cluster, 0, "/operator/revisions"))) {
                instances.add(r.path("instance").textValue());
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return instances;
    }

    private static Set<String> operatorAddresses(int daemon) {
        Set<String> addresses = new HashSet<>();
        try {
            for (JsonNode i : MAPPER.readTree(get(daemon, "/operator/instances"))) {
                if (i.path("kind").textValue().equals("entry")) {
                    addresses.add(i.path("operatorAddress").textValue());
                }
            }
        } catch (IOException e) {
            throw new AssertionError(e);
        }
        return addresses;
    }

    private static String get(int daemon, String path) throws IOException {
        return get(sCluster, daemon, path);
    }

    private static String get(TestCluster cluster, int daemon, String path) throws IOException {
        Request request =
                new Request.Builder()
                        .url("http://127.0.0.1:" + cluster.daemon(daemon).operatorPort() + path)
                        .header("Authorization", "Bearer " + TestCluster.KEY_OPERATOR)
                        .build();
        try (Response response = cluster.client().newCall(request).execute()) {
            assertThat(response.code()).isEqualTo(200);
            return response.body().string();
        }
    }
}
