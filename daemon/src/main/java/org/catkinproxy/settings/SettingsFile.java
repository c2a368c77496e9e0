package org.catkinproxy.settings;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Loads a settings file and reports everything that is wrong with it at once.
 *
 * <p>Stateless, and so safe for use by any thread.
 */
public final class SettingsFile {
    private static final TomlMapper MAPPER = new TomlMapper();

    private SettingsFile() {}

    /**
     * Reads the file, with secrets from the files and environment variables that it names.
     *
     * @throws CatkinException with code {@code INVALID_SETTINGS}, naming the file and, for every
     *     error, the key, what was found and what is wanted
     */
    public static Settings load(Path file) {
        return load(file, System.getenv());
    }

    static Settings load(Path file, Map<String, String> environment) {
        Path base = file.toAbsolutePath().getParent();
        return parse(file, read(file), base, environment);
    }

    static Settings parse(Path file, String text, Path base, Map<String, String> environment) {
        List<SettingsError> errors = new ArrayList<>();
        Settings settings =
                new SettingsReader(parseToml(file, text), base, environment, errors).read();
        if (!errors.isEmpty()) {
            throw invalid(file, errors);
        }
        return settings;
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            String found = e.getClass().getSimpleName() + " on reading";
            throw invalid(file, List.of(new SettingsError("file", found, "a readable file")));
        }
    }

    private static JsonNode parseToml(Path file, String text) {
        try {
            return MAPPER.readTree(text);
        } catch (JacksonException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            // The message is cut: the rest repeats the source, which may hold a secret.
            throw invalid(
                    file, List.of(new SettingsError("line " + line, "no valid TOML", "TOML 1.0")));
        }
    }

    private static CatkinException invalid(Path file, List<SettingsError> errors) {
        String lines = errors.stream().map(e -> "\n  " + e).collect(Collectors.joining());
        String count = errors.size() == 1 ? "1 error" : errors.size() + " errors";
        return CatkinException.notRun(
                ErrorCode.INVALID_SETTINGS,
                Step.SETTINGS,
                CatkinException.NO_PEER,
                "settings file " + file + " has " + count + ":" + lines);
    }
}
