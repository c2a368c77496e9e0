package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

/** A silent upstream loses its requests soon, a busy one later. */
class SilenceRuleTest {
    private static final Route STREAM = Samples.route(CallKind.STREAM, true, 2);
    private static final Route PLAIN = Samples.route(CallKind.IDEMPOTENT, false, 2);

    @Example
    void queuedStreamIsLeftLongerThanOneThatBroke() {
        long broke = SilenceRule.silentAt(STREAM, 0, 0, true, true);
        long dark = SilenceRule.silentAt(STREAM, 0, 0, false, false);
        long queued = SilenceRule.silentAt(STREAM, 0, 0, false, true);

        assertThat(dark).isEqualTo(broke);
        assertThat(queued).isGreaterThan(broke);
    }

    @Example
    void eachEventGivesTheStreamTimeAnew() {
        long first = SilenceRule.silentAt(STREAM, 0, 0, true, true);
        assertThat(SilenceRule.silentAt(STREAM, 0, Samples.SECOND, true, true))
                .isEqualTo(first + Samples.SECOND);
    }

    @Example
    void plainRequestIsGivenMoreThanItsGoal() {
        long goal = PLAIN.goal().toNanos();
        assertThat(SilenceRule.silentAt(PLAIN, 0, 0, false, true)).isGreaterThan(goal);
    }
}
