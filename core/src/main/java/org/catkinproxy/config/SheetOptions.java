package org.catkinproxy.config;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Splitter;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The options in a value cell, written {@code name=value} and separated by spaces.
 *
 * <p>Immutable, and so safe for use by any thread.
 */
final class SheetOptions {
    private static final Splitter SPACES = Splitter.on(' ').omitEmptyStrings();

    private final Map<String, String> mValues;

    private SheetOptions(Map<String, String> values) {
        mValues = Map.copyOf(values);
    }

    /**
     * Reads the options of a cell.
     *
     * @throws IllegalArgumentException if one is unknown, repeated or not of the form
     */
    static SheetOptions parse(String cell, Set<String> known) {
        Map<String, String> values = new LinkedHashMap<>();
        for (String option : SPACES.split(cell)) {
            int equals = option.indexOf('=');
            checkArgument(equals > 0, "not an option: %s", option);
            String name = option.substring(0, equals);
            checkArgument(known.contains(name), "unknown option: %s", name);
            String old = values.put(name, option.substring(equals + 1));
            checkArgument(old == null, "repeated option: %s", name);
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
