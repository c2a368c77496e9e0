package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RetryRuleTest {
    private static final long MUCH = Samples.SECOND;

    @Property
    void whatMayHaveRunIsNeverSentAgainUnlessItMayRunAgain(
            @ForAll SendFailure failure,
            @ForAll CallKind kind,
            @ForAll boolean resumable,
            @ForAll @IntRange(min = 1, max = 3) int attempts,
            @ForAll @IntRange(max = 4) int runs,
            @ForAll @IntRange(max = 5) int rejections) {
        Route route = Samples.route(kind, resumable, attempts);
        boolean again = RetryRule.mayPlaceAgain(route, failure, runs, rejections, MUCH);

        boolean mayHaveRun = runs > 0 || !failure.isNotRun();
        if (mayHaveRun && !kind.mayRunAgain(resumable)) {
            assertThat(again).isFalse();
        }
        if (runs >= attempts) {
            assertThat(again).isFalse();
        }
    }

    @Example
    void aRejectedRequestIsPlacedAgainWhateverItsKind() {
        Route once = Samples.route(CallKind.AT_MOST_ONCE, false, 1);
        assertThat(RetryRule.mayPlaceAgain(once, SendFailure.REJECTED, 0, 1, MUCH)).isTrue();
        assertThat(RetryRule.mayPlaceAgain(once, SendFailure.NOT_CONNECTED, 0, 0, MUCH)).isTrue();
    }

    @Example
    void nothingIsSentThatCanNotBeAnsweredInTime() {
        Route route = Samples.route(CallKind.IDEMPOTENT, false, 3);
        long left = 10 * Samples.MILLI;
        assertThat(RetryRule.mayPlaceAgain(route, SendFailure.BROKEN, 1, 0, left)).isFalse();
    }
}
