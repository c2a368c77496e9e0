package org.catkinproxy.bench;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

final class LineFitTest {
    private static final double TOLERANCE = 1e-12;

    @Example
    void pointsOnLineHaveNoError() {
        int[] sizes = {1, 2, 4, 8};
        LineFit fit = LineFit.of(sizes, new double[] {5, 7, 11, 19});
        assertThat(fit.slope()).isWithin(TOLERANCE).of(2);
        assertThat(fit.intercept()).isWithin(TOLERANCE).of(3);
        assertThat(fit.slopeError(sizes)).isWithin(TOLERANCE).of(0);
    }

    /** Worked out by hand: residuals -1/3, 2/3, -1/3; one degree of freedom; squares of sizes 2. */
    @Example
    void errorOfSlopeIsStandardError() {
        int[] sizes = {0, 1, 2};
        LineFit fit = LineFit.of(sizes, new double[] {0, 1, 0});
        assertThat(fit.slope()).isWithin(TOLERANCE).of(0);
        assertThat(fit.error()).isWithin(TOLERANCE).of(Math.sqrt(2) / 3);
        assertThat(fit.slopeError(sizes)).isWithin(TOLERANCE).of(Math.sqrt(1.0 / 3));
    }
}
