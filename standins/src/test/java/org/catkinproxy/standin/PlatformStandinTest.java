package org.catkinproxy.standin;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

import org.catkinproxy.standin.platform.PlatformStandin;

import okhttp3.OkHttpClient;
import okhttp3.Request;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.time.Duration;

final class PlatformStandinTest {
    private final PlatformStandin mPlatform = PlatformStandin.start(0);
    private final String mWrites = mPlatform.url() + "/table-transactions";

    @AfterTry
    void close() {
        mPlatform.close();
    }

    @Example
    void transactionWritesAllOrNothing() throws IOException {
        assertThat(Http.post(mWrites, insert("a")).status()).isEqualTo(200);
        String both = insert("b").replace("]}", "," + insert("a").substring(11));
        Http.Answer answer = Http.post(mWrites, both);
        assertThat(answer.status()).isEqualTo(409);
        assertThat(answer.json().path("conflicts").toString()).isEqualTo("[1]");
        assertThat(Http.get(mPlatform.url() + "/table/t/b").status()).isEqualTo(404);
    }

    @Example
    void scanReturnsPagesInOrder() throws IOException {
        for (String key : new String[] {"x3", "x1", "y1", "x2"}) {
            Http.post(mWrites, insert(key));
        }
        Http.Answer page = Http.get(mPlatform.url() + "/table/t?prefix=x&after=x1&limit=5");
        assertThat(page.json().path("rows").findValuesAsText("key")).containsExactly("x2", "x3");
    }

    @Example
    void lostAnswerLeavesTheWriteInEffect() throws IOException {
        mPlatform.fault(Fault.of("answer_lost").times(1));
        assertThat(Http.isAnswered(mWrites, insert("a"), "none")).isFalse();
        assertThat(Http.get(mPlatform.url() + "/table/t/a").json().path("version").asInt())
                .isEqualTo(1);
    }

    @Example
    void outageEndsWhenCleared() throws IOException {
        mPlatform.fault(Fault.of("outage"));
        assertThat(Http.get(mPlatform.url() + "/instances").status()).isEqualTo(503);
        mPlatform.clearFaults();
        assertThat(Http.get(mPlatform.url() + "/instances").status()).isEqualTo(200);
    }

    @Example
    void silencedConnectionStaysSilentWhileNewOnesWork() throws IOException {
        OkHttpClient before = new OkHttpClient.Builder().build();
        Request request = new Request.Builder().url(mPlatform.url() + "/instances").build();
        before.newCall(request).execute().body().string();
        mPlatform.fault(Fault.of("silence"));
        OkHttpClient bounded = before.newBuilder().readTimeout(Duration.ofSeconds(1)).build();
        assertThrowsTimeout(bounded, request);
        assertThat(new OkHttpClient().newCall(request).execute().code()).isEqualTo(200);
    }

    private static void assertThrowsTimeout(OkHttpClient client, Request request)
            throws IOException {
        try {
            client.newCall(request).execute().close();
        } catch (SocketTimeoutException e) {
            return;
        }
        throw new AssertionError("the silenced connection was answered");
    }

    @Example
    void objectIsNeverChanged() throws IOException {
        String url = mPlatform.url() + "/kv/b1";
        assertThat(Http.put(url, "x").status()).isEqualTo(204);
        assertThat(Http.put(url, "x").status()).isEqualTo(204);
        assertThat(Http.put(url, "y").status()).isEqualTo(409);
        assertThat(Http.get(url).body()).isEqualTo("x");
        assertThat(Http.get(mPlatform.url() + "/kv?blocks=b1,b2").body())
                .isEqualTo("{\"blocks\":[\"b1\"]}");
    }

    private static String insert(String key) {
        return "{\"writes\":[{\"table\":\"t\",\"key\":\"" + key + "\",\"expect\":0,\"value\":{}}]}";
    }
}
