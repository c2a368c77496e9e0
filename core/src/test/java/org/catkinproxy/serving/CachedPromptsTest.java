package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

class CachedPromptsTest {
    private final CachedPrompts mCached = new CachedPrompts();
    private final Prompt mPrompt = Samples.prompt(1_000, 500, 100);

    private int tokens(String scope, long now) {
        return mCached.tokens(mPrompt, mPrompt.keys(scope), now);
    }

    @Example
    void onlyLeadingPartsCount() {
        mCached.told("s", 101, 500);
        assertThat(tokens("s", 0)).isEqualTo(0);
        mCached.told("s", 100, 1_000);
        assertThat(tokens("s", 0)).isEqualTo(1_500);
        mCached.told("s", 100, 512);
        assertThat(tokens("s", 0)).isEqualTo(512);
        mCached.told("s", 100, 0);
        assertThat(tokens("s", 0)).isEqualTo(0);
    }

    @Example
    void partsOfAnotherScopeNeverCount() {
        mCached.told("s", 100, 1_000);
        assertThat(tokens("t", 0)).isEqualTo(0);
    }

    @Example
    void onTheWayCountsForSomeTime() {
        mCached.sent(mPrompt, mPrompt.keys("s"), 0);
        assertThat(tokens("s", Samples.SECOND)).isEqualTo(1_600);
        assertThat(tokens("s", 10 * Samples.SECOND)).isEqualTo(0);
    }
}
