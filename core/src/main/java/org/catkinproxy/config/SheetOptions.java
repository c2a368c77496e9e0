package org.catkinproxy.config;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The options in the value cell of a row, {@code name=value} pairs separated by spaces.
 *
 * <p>Immutable and thread-safe.
 */
final class SheetOptions {
    private static final Splitter SPACES = Splitter.on(' ').omitEmptyStrings();

    private final Map<String, String> mValues;

    private SheetOptions(Map<String, String> values) {
        mValues = Map.copyOf(values);
    }

    /**
     * Parses the options in a cell.
     *
     * @throws IllegalArgumentException if an option is malformed, unknown or repeated
     */
    static SheetOptions parse(String cell, Set<String> knownNames) {
        Map<String, String> values = new LinkedHashMap<>();
        for (String option : SPACES.split(cell)) {
            int equalsIndex = option.indexOf('=');
            checkArgument(equalsIndex > 0, "option is not of the form name=value: %s", option);
            String name = option.substring(0, equalsIndex);
            checkArgument(knownNames.contains(name), "unknown option: %s", name);
            String previous = values.put(name, option.substring(equalsIndex + 1));
            checkArgument(previous == null, "repeated option: %s", name);
        }
        return new SheetOptions(values);
    }

    String text(String name, String defaultValue) {
        return mValues.getOrDefault(name, defaultValue);
    }

    int integer(String name, int defaultValue) {
        return mValues.containsKey(name) ? Integer.parseInt(mValues.get(name)) : defaultValue;
    }

    double number(String name, double defaultValue) {
        return mValues.containsKey(name) ? Double.parseDouble(mValues.get(name)) : defaultValue;
    }
}
