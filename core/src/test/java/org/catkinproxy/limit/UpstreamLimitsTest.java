package org.catkinproxy.limit;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.serving.UpstreamStart;

import java.util.HashSet;
import java.util.OptionalDouble;
import java.util.Set;

/** Tests which limit is in force, and what one instance may send. */
class UpstreamLimitsTest {
    private static final long SECOND = 1_000_000_000L;
    private static final InstanceId SELF = InstanceId.of("edge-1");
    private static final UpstreamStart UPSTREAM =
            new UpstreamStart(InstanceId.of("u"), Incarnation.of("1"));
    private static final OptionalDouble NO_LIMIT = OptionalDouble.empty();

    private final UpstreamLimits mLimits = UpstreamLimits.of(SELF);

    private boolean name(double perSecond, long at) {
        return mLimits.recordResponse(UPSTREAM, OptionalDouble.of(perSecond), at);
    }

    @Example
    void upstreamWithoutLimitGetsAnyRequest() {
        assertThat(mLimits.recordResponse(UPSTREAM, NO_LIMIT, 0)).isFalse();
        for (int i = 0; i < 100; i++) {
            assertThat(mLimits.isAllowed(UPSTREAM, 0)).isTrue();
            mLimits.recordSent(UPSTREAM, 0);
        }
    }

    @Example
    void requestsFollowTheRate() {
        assertThat(name(2, 0)).isTrue();
        assertThat(mLimits.isAllowed(UPSTREAM, 0)).isFalse();
        int sent = 0;
        for (long now = 0; now <= 10 * SECOND; now += SECOND / 100) {
            if (mLimits.isAllowed(UPSTREAM, now)) {
                mLimits.recordSent(UPSTREAM, now);
                sent++;
            }
        }
        assertThat(sent).isAtLeast(18);
        assertThat(sent).isAtMost(20);
    }

    @Example
    void requestThatIsNotAllowedDelaysTheNext() {
        name(1, 0);
        mLimits.recordSent(UPSTREAM, 0);
        long wait = mLimits.nanosUntilAllowed(UPSTREAM, 0).orElseThrow();
        assertThat(wait).isGreaterThan(2 * SECOND);
        assertThat(mLimits.isAllowed(UPSTREAM, wait + SECOND / 1_000)).isTrue();
    }

    @Example
    void limitEndsWithResponseThatNamesNone() {
        name(0.1, 0);
        assertThat(mLimits.recordResponse(UPSTREAM, NO_LIMIT, SECOND)).isTrue();
        assertThat(mLimits.isAllowed(UPSTREAM, SECOND)).isTrue();
        assertThat(mLimits.isAnyLimited()).isFalse();
    }

    @Example
    void limitEndsWithTheProcess() {
        name(0.1, 0);
        mLimits.expire(Set.of(UPSTREAM), SECOND);
        assertThat(mLimits.isAllowed(UPSTREAM, SECOND)).isFalse();
        mLimits.expire(Set.of(), SECOND);
        assertThat(mLimits.isAllowed(UPSTREAM, SECOND)).isTrue();
    }

    @Example
    void unconfirmedLimitEndsAfterOneMinute() {
        name(0.1, 0);
        mLimits.expire(Set.of(UPSTREAM), 59 * SECOND);
        assertThat(mLimits.isAnyLimited()).isTrue();
        mLimits.expire(Set.of(UPSTREAM), 60 * SECOND);
        assertThat(mLimits.isAnyLimited()).isFalse();
    }

    /** A response arrives at one instance, and its news at another, whose clock differs. */
    @Example
    void newestResponseCountsWhoeverGotIt() {
        UpstreamLimits peer = UpstreamLimits.of(InstanceId.of("edge-2"));
        name(2, 10 * SECOND);
        LimitReport older = mLimits.report(11 * SECOND);
        assertThat(peer.merge(older, 500 * SECOND)).hasSize(1);
        assertThat(peer.isAnyLimited()).isTrue();

        mLimits.recordResponse(UPSTREAM, NO_LIMIT, 12 * SECOND);
        assertThat(peer.merge(mLimits.report(12 * SECOND), 501 * SECOND)).hasSize(1);
        assertThat(peer.isAnyLimited()).isFalse();
        // An older report that arrives late changes nothing.
        assertThat(peer.merge(older.plusNanos(-2 * SECOND), 502 * SECOND)).isEmpty();
        assertThat(peer.isAnyLimited()).isFalse();
    }

    @Example
    void sharesAddUpToTheLimit() {
        int count = 20;
        double total = 0;
        double burst = 0;
        for (int i = 0; i < count; i++) {
            Set<InstanceId> others = new HashSet<>();
            for (int other = 0; other < count; other++) {
                if (other != i) {
                    others.add(InstanceId.of("i" + other));
                }
            }
            LimitShare share = LimitShare.of(UPSTREAM, 3, InstanceId.of("i" + i), others);
            total += share.perSecond();
            burst += share.burst();
        }
        assertThat(total).isWithin(1e-9).of(0.95 * 3);
        assertThat(burst).isAtMost(2 + 2 * 3);
    }
}
