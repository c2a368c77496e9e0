import java.io.FileInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

/** The platform's names of headers, paths and fields, from names.properties. */
final class Names {
    private static final Properties NAMES = new Properties();

    static {
        try (InputStream in = new FileInputStream("review/standins-2/names.properties")) {
            NAMES.load(in);
        } catch (IOException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    private Names() {}

    static String of(String key) {
        String name = NAMES.getProperty(key);
        if (name == null) {
            throw new IllegalArgumentException("no name for " + key);
        }
        return name;
    }
}
