package org.catkinproxy.daemon;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;

import org.catkinproxy.standin.Fault;
import org.catkinproxy.standin.engine.EngineOptions;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import java.io.IOException;
import java.time.Duration;

/** Filings through whole daemons while the platform, the service or a daemon fails. */
class FilingFailureTest {
    private static final String PATH = "/services/register/filings";
    private static final String BODY = "{\"coating\":7}";
    private static final String RECEIPT = "Catkin-Receipt";
    private static final String SHORT_MILLIS = "800";
    private static final String LONG_MILLIS = "60000";

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
    void outageOfTheStoreEndsInTrueRefusalAndReceiptedRetryRuns() throws IOException {
        sCluster.platform().fault(Fault.of("outage"));
        String receipt;
        try (Response refusal = file(0, "outage", SHORT_MILLIS, "none")) {
            assertThat(refusal.code()).isEqualTo(503);
            assertThat(refusal.body().string()).contains("\"not_run\"");
            receipt = refusal.header(RECEIPT);
        }
        assertThat(executions("outage")).isEqualTo(0);
        sCluster.platform().clearFaults();
        expectFiled(file(1, "outage", LONG_MILLIS, receipt));
        assertThat(executions("outage")).isEqualTo(1);
    }

    @Example
    void lostAndLateWritesOfTheStoreRunTheCallOnce() throws IOException {
        for (String fault : new String[] {"answer_lost", "write_late"}) {
            sCluster.platform().fault(Fault.of(fault).delayed(Duration.ofMillis(300)));
            expectFiled(file(0, fault, LONG_MILLIS, "none"));
            sCluster.platform().clearFaults();
            expectFiled(file(1, fault, LONG_MILLIS, "none"));
            assertThat(executions(fault)).isEqualTo(1);
        }
    }

    @Example
    void callsOfDaemonThatDiesAreAnsweredByAnother() throws IOException {
        Daemon dying = sCluster.addDaemon("entry-dying");
        TestCluster.await(() -> dying.configuration().isFresh());
        sCluster.service().fault(Fault.of("late").times(1));
        sCluster.client()
                .newCall(request("http://127.0.0.1:" + dying.callerPort(), "dying", LONG_MILLIS))
                .enqueue(new Ignoring());
        TestCluster.await(() -> executions("dying") == 1);
        dying.close();
        expectFiled(file(0, "dying", LONG_MILLIS, "none"));
        assertThat(executions("dying")).isEqualTo(1);
    }

    /** What refuses a call before its record is read can not say that no earlier attempt ran. */
    @Example
    void refusalBeforeTheRecordIsReadSaysNothingOfEarlierAttempts() throws IOException {
        expectFiled(file(0, "repeated", LONG_MILLIS, "none"));
        Request known = request(sCluster.url(1), "repeated", LONG_MILLIS);
        Request elsewhere =
                known.newBuilder().url(sCluster.url(1) + "/services/none/filings").build();
        assertThat(outcomeOf(elsewhere)).contains("\"unknown\"");
        Request stranger = known.newBuilder().header("Authorization", "Bearer no-key").build();
        assertThat(outcomeOf(stranger)).contains("\"unknown\"");

        Request keyless = elsewhere.newBuilder().removeHeader("Idempotency-Key").build();
        assertThat(outcomeOf(keyless)).contains("\"not_run\"");
    }

    private static String outcomeOf(Request request) throws IOException {
        try (Response response = sCluster.client().newCall(request).execute()) {
            assertThat(response.isSuccessful()).isFalse();
            return response.body().string();
        }
    }

    private static int executions(String key) {
        return sCluster.service().executions(key);
    }

    private static void expectFiled(Response response) throws IOException {
        try (response) {
            assertThat(response.code()).isEqualTo(201);
            assertThat(response.body().string()).contains("registered");
        }
    }

    private static Response file(int daemon, String key, String deadlineMillis, String receipt)
            throws IOException {
        Request request =
                request(sCluster.url(daemon), key, deadlineMillis)
                        .newBuilder()
                        .header(RECEIPT, receipt)
                        .build();
        return sCluster.client().newCall(request).execute();
    }

    private static Request request(String url, String key, String deadlineMillis) {
        return new Request.Builder()
                .url(url + PATH)
                .header("Authorization", "Bearer " + TestCluster.KEY_LARGE)
                .header("Idempotency-Key", key)
                .header("Catkin-Deadline-Ms", deadlineMillis)
                .post(RequestBody.create(BODY, MediaType.get("application/json")))
                .build();
    }

    /** A caller that loses its daemon. */
    private static final class Ignoring implements Callback {
        @Override
        public void onFailure(Call call, IOException e) {
            assertThat(call.isExecuted()).isTrue();
        }

        @Override
        public void onResponse(Call call, Response response) {
            response.close();
        }
    }
}
