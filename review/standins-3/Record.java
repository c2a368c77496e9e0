import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered and run, with the time in ms. Thread-safe. */
final class Record implements AutoCloseable {
    private final long mStart = System.nanoTime();
    private final PrintWriter mOut;

    Record(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    /** Returns the time since the start of the run, in ms. */
    long now() {
        return (System.nanoTime() - mStart) / 1_000_000;
    }

    synchronized void line(String text) {
        mOut.printf("%7d %s%n", now(), text);
    }

    @Override
    public synchronized void close() {
        mOut.close();
    }
}
