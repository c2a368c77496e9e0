package org.catkinproxy.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;

/**
 * Reads a secret from the file or the environment variable that the settings name, or in place.
 *
 * <p>No error ever repeats a secret. Not safe for use by several threads.
 */
final class SecretSource {
    private static final String WANTS = "at least " + Secrets.MIN_KEY_BYTES + " bytes";

    private final SettingsTable mTable;
    private final Path mBase;
    private final Map<String, String> mEnvironment;

    SecretSource(SettingsTable table, Path base, Map<String, String> environment) {
        mTable = table;
        mBase = base;
        mEnvironment = environment;
    }

    /** Returns the secret that {@code name}, {@code name_file} or {@code name_env} gives. */
    Optional<byte[]> read(String name) {
        String fileKey = name + "_file";
        String variableKey = name + "_env";
        int given = count(name) + count(fileKey) + count(variableKey);
        Optional<String> inline = mTable.optionalText(name);
        Optional<Path> file = mTable.file(fileKey, mBase);
        Optional<String> variable = mTable.optionalText(variableKey);
        if (given != 1) {
            mTable.error(
                    name,
                    given == 0 ? "nothing" : given + " sources",
                    "exactly one of " + name + ", " + fileKey + " and " + variableKey);
            return Optional.empty();
        }
        if (inline.isPresent()) {
            return checked(name, inline.get());
        }
        if (file.isPresent()) {
            return fromFile(fileKey, file.get());
        }
        return variable.flatMap(v -> fromEnvironment(variableKey, v));
    }

    private int count(String key) {
        return mTable.has(key) ? 1 : 0;
    }

    private Optional<byte[]> fromFile(String key, Path file) {
        try {
            return checked(key, Files.readString(file).strip());
        } catch (IOException e) {
            mTable.error(key, "a file that can not be read as text", WANTS + " of text");
            return Optional.empty();
        }
    }

    private Optional<byte[]> fromEnvironment(String key, String variable) {
        String value = mEnvironment.get(variable);
        if (value == null) {
            mTable.error(key, "no environment variable " + variable, "one that is set");
            return Optional.empty();
        }
        return checked(key, value);
    }

    private Optional<byte[]> checked(String key, String secret) {
        byte[] bytes = secret.getBytes(StandardCharsets.UTF_8);
        if (bytes.length < Secrets.MIN_KEY_BYTES) {
            mTable.error(key, bytes.length + " bytes", WANTS);
            return Optional.empty();
        }
        return Optional.of(bytes);
    }
}
