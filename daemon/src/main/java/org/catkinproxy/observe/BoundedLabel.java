package org.catkinproxy.observe;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Keeps the number of values of a label bounded: values above the limit become one.
 *
 * <p>Safe for use by any thread; threads that race may pass the limit by their number.
 */
final class BoundedLabel {
    static final String OTHER = "other";

    private final int mLimit;
    private final Set<String> mValues = ConcurrentHashMap.newKeySet();

    BoundedLabel(int limit) {
        mLimit = limit;
    }

    String of(String value) {
        if (mValues.contains(value)) {
            return value;
        }
        if (mValues.size() >= mLimit) {
            return OTHER;
        }
        mValues.add(value);
        return value;
    }
}
