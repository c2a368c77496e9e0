package org.catkinproxy.chaos;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

import org.catkinproxy.demo.FilingAnswer;
import org.catkinproxy.demo.StreamOutcome;
import org.catkinproxy.standin.Tokens;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/** Each check is seen to fail on what it is there to find. */
final class ChecksTest {
    private static final String PROMPT = "a prompt";
    private static final int MAX_TOKENS = 10;
    private static final FilingAnswer DONE =
            new FilingAnswer(201, FilingAnswer.Kind.DONE, "", "{\"registered\":1}");
    private static final FilingAnswer NOT_RUN =
            new FilingAnswer(503, FilingAnswer.Kind.NOT_RUN, "store_unavailable", "");

    private final Ledger mLedger = new Ledger();
    private final Versions mVersions = new Versions();
    private final FilingBook mFilings = new FilingBook();

    @Example
    void wholeStreamKeepsAllPromises() {
        mVersions.accepted(mVersions.offer());
        check(tokens(1).text(1, MAX_TOKENS), true);
        assertThat(mLedger.checked(Promise.STREAM_WHOLE)).isEqualTo(1);
        assertThat(broken()).isEqualTo(0);
    }

    @Example
    void shortStreamThatLooksWholeIsFound() {
        mVersions.accepted(mVersions.offer());
        check(tokens(1).text(1, MAX_TOKENS - 1), true);
        assertThat(mLedger.broken(Promise.STREAM_WHOLE)).isEqualTo(1);
    }

    @Example
    void missingTokenIsFoundBeforeTheEnd() {
        mVersions.accepted(mVersions.offer());
        check(tokens(1).text(1, 3) + tokens(1).text(5, 6), false);
        assertThat(mLedger.broken(Promise.OWN_ANSWER)).isEqualTo(1);
    }

    @Example
    void streamThatStatesItsErrorBreaksNothing() {
        mVersions.accepted(mVersions.offer());
        check(tokens(1).text(1, 4), false);
        assertThat(broken()).isEqualTo(0);
    }

    @Example
    void answerFromWeightsThatWereNeverOfferedIsFound() {
        mVersions.accepted(mVersions.offer());
        check(tokens(2).text(1, MAX_TOKENS), true);
        assertThat(mLedger.broken(Promise.OWN_ANSWER)).isEqualTo(1);
    }

    @Example
    void replacedVersionIsAllowedUntilTheNewOneMustBeInForce() {
        mVersions.accepted(mVersions.offer());
        mVersions.accepted(mVersions.offer());
        long now = System.nanoTime();
        assertThat(mVersions.allowed(now)).containsExactly(2, 1);
        long later = now + Versions.IN_FORCE_LIMIT.toNanos() + 1;
        assertThat(mVersions.allowed(later)).containsExactly(2);
    }

    @Example
    void filingThatRanTwiceIsFound() {
        mFilings.add("k", true, List.of(DONE));
        mFilings.audit(Map.of("k", 2), mLedger);
        assertThat(mLedger.broken(Promise.FILING_ONCE)).isEqualTo(1);
    }

    @Example
    void filingThatWasLostIsFound() {
        mFilings.add("k", true, List.of(DONE));
        mFilings.audit(Map.of(), mLedger);
        assertThat(mLedger.broken(Promise.FILING_KEPT)).isEqualTo(1);
    }

    @Example
    void falseNotRunIsFound() {
        mFilings.add("k", true, List.of(NOT_RUN));
        mFilings.audit(Map.of("k", 1), mLedger);
        assertThat(mLedger.broken(Promise.NOT_RUN_TRUE)).isEqualTo(1);
    }

    @Example
    void scheduleFollowsFromTheSeedAlone() {
        Duration length = Duration.ofMinutes(5);
        List<FaultStep> steps = Schedule.of(1, length);
        assertThat(Schedule.of(1, length)).isEqualTo(steps);
        assertThat(Schedule.of(2, length)).isNotEqualTo(steps);
        assertThat(steps.stream().map(FaultStep::kind).distinct().toList())
                .hasSize(FaultKind.values().length);
    }

    private void check(String text, boolean done) {
        StreamOutcome outcome =
                new StreamOutcome(200, "engine-1", 0, Duration.ZERO, text, done, 1, "", "");
        new StreamCheck(mLedger, mVersions).check(PROMPT, MAX_TOKENS, System.nanoTime(), outcome);
    }

    private int broken() {
        int broken = 0;
        for (Promise promise : Promise.values()) {
            broken += mLedger.broken(promise);
        }
        return broken;
    }

    private static Tokens tokens(int version) {
        return Tokens.of(PROMPT, Versions.weights(version));
    }
}
