package org.catkinproxy.operator;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;

import io.reactivex.rxjava3.core.Single;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Lets a worker of the operator listener wait for a port's answer. Stateless; thread-safe. */
final class Waiting {
    private static final long MAX_WAIT_SECONDS = 30;

    private Waiting() {}

    /** Returns the answer or throws its error; one that does not come has outcome unknown. */
    static <T> T await(Single<T> answer) {
        return answer.timeout(MAX_WAIT_SECONDS, TimeUnit.SECONDS)
                .onErrorResumeNext(e -> Single.error(e instanceof TimeoutException ? late(e) : e))
                .blockingGet();
    }

    static <T> Single<T> missing(String what) {
        return Single.error(
                () ->
                        CatkinException.notRun(
                                ErrorCode.NOT_FOUND,
                                Step.PARSE,
                                CatkinException.NO_PEER,
                                "there is no " + what));
    }

    private static CatkinException late(Throwable cause) {
        return CatkinException.of(
                ErrorCode.STORE_UNAVAILABLE,
                Step.STORE,
                "store",
                Outcome.UNKNOWN,
                "no answer within " + MAX_WAIT_SECONDS + " s",
                cause);
    }
}
