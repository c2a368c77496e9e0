package org.catkinproxy.bench;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Arrays;
import java.util.Locale;

/** The least, the middle and the greatest of one measure over the seeds. Immutable. */
record Spread(double min, double median, double max) {
    /** Returns the spread of at least one value. */
    static Spread of(double... values) {
        checkArgument(values.length > 0, "no values");
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        double median =
                sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
        return new Spread(sorted[0], median, sorted[sorted.length - 1]);
    }

    /** Returns the three values with the given number of decimals. */
    String format(int decimals) {
        String one = "%." + decimals + "f";
        return String.format(Locale.ROOT, one + "/" + one + "/" + one, min, median, max);
    }
}
