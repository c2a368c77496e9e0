package org.catkinproxy.demo;

import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

/** The operator interface of a cluster's daemons. Safe for use by any thread. */
public final class Operator {
    private static final MediaType CSV = MediaType.get("text/csv");

    private final OkHttpClient mHttp = Web.bounded(Duration.ofSeconds(5));
    private final OkHttpClient mQuick = Web.bounded(Duration.ofSeconds(1));

    /** Applies a sheet on top of revision {@code expect}. */
    public Web.Answer apply(Member daemon, String csv, long expect) throws IOException {
        byte[] body = csv.getBytes(StandardCharsets.UTF_8);
        return Web.send(
                mHttp,
                request(daemon, "/operator/sheet/apply?expect=" + expect)
                        .post(RequestBody.create(body, CSV))
                        .build());
    }

    /** Begins a planned stop of an instance. */
    public Web.Answer stop(Member daemon, String instance) throws IOException {
        return Web.send(
                mHttp, request(daemon, "/operator/stop/" + instance).post(Web.json("{}")).build());
    }

    /** Returns what a daemon says of itself. */
    public Web.Answer status(Member daemon) throws IOException {
        return Web.send(mQuick, request(daemon, "/operator/status").build());
    }

    /**
     * Returns the revision that a daemon says is in force.
     *
     * @throws IOException if it does not say so in time
     */
    public long revision(Member daemon) throws IOException {
        Web.Answer answer = status(daemon);
        if (!answer.isSuccess()) {
            throw new IOException(daemon.id() + ": " + answer);
        }
        return answer.json().path("revision").asLong();
    }

    private static Request.Builder request(Member daemon, String path) {
        return new Request.Builder()
                .url(daemon.operatorUrl() + path)
                .header("Authorization", "Bearer " + DemoSettings.OPERATOR_KEY);
    }
}
