package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

/** Versions in quick succession: each engine is judged by the first one that it lacks. */
class NamedVersionsTest {
    private static final long ALLOWED = 10 * Samples.SECOND;

    private final NamedVersions mVersions = NamedVersions.of(ALLOWED);

    @Example
    void oldWeightsAreOfNoUseOnceTheNextVersionIsOld() {
        mVersions.named(Samples.MODEL, 2, 0);
        mVersions.named(Samples.MODEL, 3, 6 * Samples.SECOND);

        long later = 8 * Samples.SECOND;
        assertThat(mVersions.isUsable(Samples.MODEL, 1, 6 * Samples.SECOND)).isTrue();
        assertThat(mVersions.isUsable(Samples.MODEL, 1, later)).isFalse();
        assertThat(mVersions.isUsable(Samples.MODEL, 2, later)).isTrue();
        assertThat(mVersions.isUsable(Samples.MODEL, 3, 100 * Samples.SECOND)).isTrue();
    }

    @Example
    void aVersionThatIsReadAgainKeepsItsTime() {
        assertThat(mVersions.named(Samples.MODEL, 2, 0)).isTrue();
        assertThat(mVersions.named(Samples.MODEL, 2, 9 * Samples.SECOND)).isFalse();
        assertThat(mVersions.named(Samples.MODEL, 1, 9 * Samples.SECOND)).isFalse();

        assertThat(mVersions.isUsable(Samples.MODEL, 1, 9 * Samples.SECOND)).isFalse();
        assertThat(mVersions.newest(Samples.MODEL)).isEqualTo(2);
    }

    @Example
    void oldWeightsAreTheLastResortWhenNobodyKnowsTheirAge() {
        mVersions.found(Samples.MODEL, 2, 0);

        assertThat(mVersions.isUsable(Samples.MODEL, 1, 0)).isFalse();
        assertThat(mVersions.mayBeUsable(Samples.MODEL, 1, 0)).isTrue();

        mVersions.named(Samples.MODEL, 3, 0);
        assertThat(mVersions.mayBeUsable(Samples.MODEL, 2, 8 * Samples.SECOND)).isFalse();
    }
}
