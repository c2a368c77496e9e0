package org.catkinproxy.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;

/**
 * Reads one table of a settings file key by key and collects what is wrong with it.
 *
 * <p>A getter that finds an error records it and returns a value that lets reading go on; the
 * caller looks at the errors once everything was read. Not safe for use by several threads.
 */
final class SettingsTable {
    private static final String NOTHING = "nothing";

    private final String mPrefix;
    private final JsonNode mNode;
    private final List<SettingsError> mErrors;
    private final TreeSet<String> mKnown = new TreeSet<>();

    private SettingsTable(String prefix, JsonNode node, List<SettingsError> errors) {
        mPrefix = prefix;
        mNode = node;
        mErrors = errors;
    }

    static SettingsTable root(JsonNode node, List<SettingsError> errors) {
        return new SettingsTable("", node, errors);
    }

    boolean has(String key) {
        return mNode.has(key);
    }

    /** Returns the table below {@code key}, an empty one if the file has none. */
    SettingsTable table(String key) {
        JsonNode node = take(key);
        if (!node.isMissingNode() && !node.isObject()) {
            error(key, describe(node), "a table");
            node = MissingNode.getInstance();
        }
        return new SettingsTable(mPrefix + key + ".", node, mErrors);
    }

    /** Returns the keys that the table has in the file. */
    List<String> keys() {
        List<String> keys = new ArrayList<>();
        mNode.fieldNames().forEachRemaining(keys::add);
        return keys;
    }

    Optional<String> optionalText(String key) {
        JsonNode node = take(key);
        if (node.isMissingNode()) {
            return Optional.empty();
        }
        if (!node.isTextual()) {
            error(key, describe(node), "a string");
            return Optional.empty();
        }
        return Optional.of(node.textValue());
    }

    /** Returns the value that {@code parse} makes of a required string, or null with an error. */
    <T> T required(String key, String wants, Function<String, T> parse) {
        if (!has(key)) {
            take(key);
            error(key, NOTHING, wants);
            return null;
        }
        return optional(key, wants, parse).orElse(null);
    }

    <T> Optional<T> optional(String key, String wants, Function<String, T> parse) {
        Optional<String> text = optionalText(key);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(parse.apply(text.get()));
        } catch (IllegalArgumentException e) {
            error(key, quote(text.get()), wants);
            return Optional.empty();
        }
    }

    int integer(String key, int otherwise, int min, int max) {
        JsonNode node = take(key);
        if (node.isMissingNode()) {
            return otherwise;
        }
        if (node.isIntegralNumber()
                && node.canConvertToInt()
                && node.intValue() >= min
                && node.intValue() <= max) {
            return node.intValue();
        }
        error(key, describe(node), "a whole number from " + min + " to " + max);
        return otherwise;
    }

    Duration millis(String key, Duration otherwise, Duration max) {
        int value = integer(key, Math.toIntExact(otherwise.toMillis()), 1, (int) max.toMillis());
        return Duration.ofMillis(value);
    }

    Optional<URI> httpAddress(String key) {
        return optional(key, "an address like http://10.0.0.1:8080", SettingsTable::parseHttp);
    }

    /** Returns a readable file, taken relative to {@code base}. */
    Optional<Path> file(String key, Path base) {
        Optional<Path> path = optional(key, "the path of a file", base::resolve);
        if (path.isPresent() && !Files.isReadable(path.get())) {
            error(key, "no readable file " + path.get(), "a readable file");
            return Optional.empty();
        }
        return path;
    }

    void error(String key, String found, String wants) {
        mErrors.add(new SettingsError(mPrefix + key, found, wants));
    }

    /** Records an error for every key that no getter asked for. */
    void refuseUnknownKeys() {
        for (String key : keys()) {
            if (!mKnown.contains(key)) {
                error(key, "an unknown key", "one of " + String.join(", ", mKnown));
            }
        }
    }

    static String quote(String text) {
        return "\"" + text + "\"";
    }

    private JsonNode take(String key) {
        mKnown.add(key);
        return mNode.path(key);
    }

    private static String describe(JsonNode node) {
        if (node.isObject()) {
            return "a table";
        }
        return node.isArray() ? "an array" : node.toString();
    }

    private static URI parseHttp(String text) {
        URI uri = URI.create(text.endsWith("/") ? text.substring(0, text.length() - 1) : text);
        boolean http = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
        if (!http || uri.getHost() == null || uri.getQuery() != null) {
            throw new IllegalArgumentException("not an HTTP address");
        }
        return uri;
    }
}
