import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** The platform's names of headers and calls, read from {@code names.txt}. Immutable. */
final class Names {
    private static final Properties NAMES = load();

    private Names() {}

    private static Properties load() {
        Properties names = new Properties();
        try (Reader in = Files.newBufferedReader(Path.of("review/standins-3/names.txt"))) {
            names.load(in);
        } catch (IOException e) {
            throw new IllegalStateException("run from the repository's root", e);
        }
        return names;
    }

    /** Returns the platform's name for {@code key}. */
    static String of(String key) {
        String name = NAMES.getProperty(key);
        if (name == null) {
            throw new IllegalArgumentException(key);
        }
        return name;
    }
}
