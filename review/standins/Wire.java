import java.io.IOException;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** The names of the platform's headers and calls, read from a text file. Immutable. */
final class Wire {
    private static final Properties NAMES = load();

    private Wire() {}

    private static Properties load() {
        Properties names = new Properties();
        try (Reader reader = Files.newBufferedReader(Path.of("review/standins/wire.properties"))) {
            names.load(reader);
        } catch (IOException e) {
            throw new IllegalStateException("run this from the root of the repository", e);
        }
        return names;
    }

    /** Returns the platform's name for {@code key}. */
    static String name(String key) {
        String name = NAMES.getProperty(key);
        if (name == null) {
            throw new IllegalArgumentException("unknown name: " + key);
        }
        return name;
    }
}
