import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to the record of a case. Thread-safe. */
final class Record {
    private final PrintWriter mOut;
    private final long mStart = System.nanoTime();

    Record(Path file) {
        try {
            mOut = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void add(String format, Object... values) {
        double seconds = (System.nanoTime() - mStart) / 1e9;
        mOut.printf(Locale.ROOT, "%8.3f  ", seconds);
        mOut.println(String.format(Locale.ROOT, format, values));
        mOut.flush();
    }
}
