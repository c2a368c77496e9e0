package org.catkinproxy.bench;

import java.util.Arrays;
import java.util.Locale;

/** The least-squares line through points, with the root of its mean square error. Immutable. */
public record LineFit(double slope, double intercept, double error) {
    /** Returns the line through at least two different sizes. */
    public static LineFit of(int[] sizes, double[] values) {
        int n = sizes.length;
        double meanSize = 0;
        double meanValue = 0;
        for (int i = 0; i < n; i++) {
            meanSize += (double) sizes[i] / n;
            meanValue += values[i] / n;
        }
        double products = 0;
        double squares = 0;
        for (int i = 0; i < n; i++) {
            products += (sizes[i] - meanSize) * (values[i] - meanValue);
            squares += (sizes[i] - meanSize) * (sizes[i] - meanSize);
        }
        double slope = products / squares;
        double intercept = meanValue - slope * meanSize;
        double error = 0;
        for (int i = 0; i < n; i++) {
            double off = values[i] - intercept - slope * sizes[i];
            error += off * off / n;
        }
        return new LineFit(slope, intercept, Math.sqrt(error));
    }

    /** Returns the standard error of the slope; {@code sizes} are the three or more fitted ones. */
    public double slopeError(int[] sizes) {
        double mean = Arrays.stream(sizes).average().orElseThrow();
        double squares = Arrays.stream(sizes).mapToDouble(s -> (s - mean) * (s - mean)).sum();
        return error * Math.sqrt(sizes.length / (sizes.length - 2.0) / squares);
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT, "%.6g + %.6g a unit of size, error %.3g", intercept, slope, error);
    }
}
