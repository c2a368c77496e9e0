package org.catkinproxy.standin;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

import org.catkinproxy.standin.service.ServiceStandin;

import java.io.IOException;

final class ServiceStandinTest {
    private final ServiceStandin mService = ServiceStandin.start(0);
    private final String mUrl = mService.url();

    @AfterTry
    void close() {
        mService.close();
    }

    @Example
    void everyPostIsAnExecutionOfItsOwn() throws IOException {
        assertThat(Http.post(mUrl + "/filings", "{}", "k1").key()).isEqualTo("k1");
        Http.post(mUrl + "/filings", "{}", "k1");
        assertThat(mService.executions("k1")).isEqualTo(2);
    }

    @Example
    void statusTellsOfCallWhoseAnswerWasLost() throws IOException {
        mService.fault(Fault.of("answer_lost").times(1));
        assertThat(Http.isAnswered(mUrl + "/filings", "{}", "k1")).isFalse();
        assertThat(Http.get(mUrl + "/calls/k1").json().path("status").asText()).isEqualTo("done");
        assertThat(Http.get(mUrl + "/calls/k2").json().path("status").asText()).isEqualTo("none");
    }

    @Example
    void crossedAnswerCarriesAnotherKey() throws IOException {
        mService.fault(Fault.of("crossed").times(1));
        assertThat(Http.post(mUrl + "/filings", "{}", "k1").key()).isNotEqualTo("k1");
        assertThat(mService.executions("k1")).isEqualTo(1);
    }

    @Example
    void outageExecutesNothing() throws IOException {
        mService.fault(Fault.of("outage").times(1));
        assertThat(Http.post(mUrl + "/filings", "{}", "k1").status()).isEqualTo(503);
        assertThat(mService.executions("k1")).isEqualTo(0);
    }
}
