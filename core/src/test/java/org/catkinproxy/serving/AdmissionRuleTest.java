package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.catkinproxy.serving.AdmissionRule.Verdict;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/** Turning some prompts away keeps the others in time when engines are short. */
class AdmissionRuleTest {
    private static final long TIMEOUT = 6 * Samples.SECOND;
    private static final long GOAL = 600 * Samples.MILLI;
    private static final Route ROUTE = route(1, GOAL);

    private static Route route(int priority, long goal) {
        return new Route(
                "r",
                "host",
                "/a/",
                CallKind.STREAM,
                true,
                false,
                priority,
                2,
                Duration.ofNanos(TIMEOUT),
                Duration.ofNanos(goal),
                Duration.ofMillis(250),
                List.of(new WeightedService(Samples.ENGINES, 1)));
    }

    private static Verdict decide(int priority, long wait, long left) {
        Route route = route(priority, GOAL);
        return AdmissionRule.decide(route, wait, wait + 100 * Samples.MILLI, left);
    }

    /** Short urgent prompts beside long ones whose goal is twice theirs. */
    @Property
    void urgentKindIsNotTurnedAwayBeforeAnother(@ForAll @IntRange(max = 3_000) int waitMillis) {
        long wait = waitMillis * Samples.MILLI;
        Verdict urgent = AdmissionRule.decide(route(0, GOAL / 2), wait, wait, TIMEOUT);
        Verdict other = AdmissionRule.decide(ROUTE, wait, wait, TIMEOUT);
        assertThat(other.admits() && !urgent.admits()).isFalse();
    }

    @Example
    void idleEnginesTakeEverything() {
        assertThat(AdmissionRule.decide(ROUTE, 0, 5 * Samples.SECOND, 1)).isEqualTo(Verdict.ADMIT);
    }

    @Example
    void urgentPromptsMayWaitLonger() {
        assertThat(decide(1, GOAL, TIMEOUT)).isEqualTo(Verdict.COME_BACK);
        assertThat(decide(0, GOAL, TIMEOUT)).isEqualTo(Verdict.ADMIT);
    }

    @Example
    void callersThatComeBackMayWaitLonger() {
        assertThat(decide(1, GOAL, TIMEOUT / 2)).isEqualTo(Verdict.ADMIT);
    }

    @Example
    void callersThatWouldBeGoneAreToldAtOnce() {
        assertThat(decide(0, 3 * Samples.SECOND, TIMEOUT)).isEqualTo(Verdict.HOPELESS);
        assertThat(decide(0, 2 * Samples.SECOND, Samples.SECOND)).isEqualTo(Verdict.HOPELESS);
    }

    /** A long prompt is not turned away where a short one is taken. */
    @Property
    void lengthAloneTurnsNothingAway(@ForAll @IntRange(max = 2_000) int ownMillis) {
        long wait = 200 * Samples.MILLI;
        long first = wait + ownMillis * Samples.MILLI;
        assertThat(AdmissionRule.decide(ROUTE, wait, first, TIMEOUT)).isEqualTo(Verdict.ADMIT);
    }

    /**
     * Engines that compute 100 s of work in 100 s get 130 s of it; callers leave after their
     * patience, and what was computed for them is lost. With the rule, more callers get their first
     * token in time than without.
     */
    @Example
    void moreAreServedInTimeWhenEnginesAreShort() {
        int all = servedInTime(false);
        int some = servedInTime(true);
        assertThat(some).isGreaterThan(2 * all);
    }

    /** One engine, first come first served; a step is a millisecond. */
    private static int servedInTime(boolean withRule) {
        SplittableRandom random = new SplittableRandom(7);
        Deque<long[]> queue = new ArrayDeque<>();
        int work = 100;
        long waiting = 0;
        int served = 0;
        for (long now = 0; now < 100_000; now++) {
            if (random.nextInt(1_000) < 13) {
                long wait = waiting * Samples.MILLI;
                long first = wait + work * Samples.MILLI;
                boolean admits = AdmissionRule.decide(ROUTE, wait, first, TIMEOUT).admits();
                if (!withRule || admits) {
                    queue.addLast(new long[] {now, work});
                    waiting += work;
                }
            }
            if (!queue.isEmpty()) {
                waiting--;
                if (--queue.peekFirst()[1] == 0) {
                    long took = now - queue.pollFirst()[0];
                    served += took * Samples.MILLI <= GOAL ? 1 : 0;
                }
            }
        }
        return served;
    }
}
