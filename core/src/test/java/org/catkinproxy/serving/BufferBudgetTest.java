package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

/** Replays responses without end beside responses of the usual size. */
class BufferBudgetTest {
    private static final long MAX_BYTES = 1_000_000;

    @Example
    void largestBufferGivesWayWhenAllTogetherExceedTheLimit() {
        BufferBudget<String> budget = BufferBudget.of(MAX_BYTES);
        assertThat(budget.record("usual", 5_000)).isEmpty();
        assertThat(budget.record("endless", 990_000)).isEmpty();

        assertThat(budget.record("usual", 20_000)).hasValue("endless");
        assertThat(budget.record("endless", 0)).isEmpty();
        assertThat(budget.totalBytes()).isEqualTo(20_000);
    }

    @Example
    void manyEndlessResponsesNeverHoldMoreThanTheLimitAndOneGrowth() {
        BufferBudget<Integer> budget = BufferBudget.of(MAX_BYTES);
        long[] bytes = new long[50];
        for (int round = 0; round < 200; round++) {
            for (int i = 0; i < bytes.length; i++) {
                bytes[i] += 8_192;
                budget.record(i, bytes[i])
                        .ifPresent(
                                owner -> {
                                    bytes[owner] = 0;
                                    budget.record(owner, 0);
                                });
                assertThat(budget.totalBytes()).isAtMost(MAX_BYTES + 8_192);
            }
        }
    }

    @Example
    void releasedBufferCountsNoMore() {
        BufferBudget<String> budget = BufferBudget.of(MAX_BYTES);
        budget.record("first", 600_000);
        budget.record("first", 0);
        budget.record("first", 0);

        assertThat(budget.record("second", 600_000)).isEmpty();
    }
}
