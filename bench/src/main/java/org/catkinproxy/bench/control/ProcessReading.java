package org.catkinproxy.bench.control;

import com.google.common.base.Splitter;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * What Linux counts for one process.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param nanos when it was read, as by {@link System#nanoTime}
 * @param cpuTicks processor time of all threads in user and system mode, in clock ticks
 * @param residentKib resident memory in KiB
 * @param movedBytes bytes of all read and write calls, on sockets, pipes and files
 */
record ProcessReading(long nanos, long cpuTicks, long residentKib, long movedBytes) {
    /** The unit of {@code /proc/PID/stat}: USER_HZ, which is 100 on all usual platforms. */
    static final int TICKS_PER_SECOND = 100;

    private static final int USER_TIME = 11;
    private static final int SYSTEM_TIME = 12;
    private static final Splitter FIELDS = Splitter.on(' ').omitEmptyStrings().trimResults();
    private static final Splitter LINES = Splitter.on('\n').omitEmptyStrings();

    /** Reads the counters of a process that runs. */
    static ProcessReading of(long pid) {
        Path directory = Path.of("/proc", Long.toString(pid));
        try {
            String stat = Files.readString(directory.resolve("stat"));
            String status = Files.readString(directory.resolve("status"));
            String io = Files.readString(directory.resolve("io"));
            return parse(System.nanoTime(), stat, status, io);
        } catch (IOException e) {
            throw new UncheckedIOException("can not read " + directory, e);
        }
    }

    /** Returns the reading in the texts of {@code stat}, {@code status} and {@code io}. */
    static ProcessReading parse(long nanos, String stat, String status, String io) {
        return new ProcessReading(
                nanos,
                cpuTicks(stat),
                valueOf(status, "VmRSS:"),
                valueOf(io, "rchar:") + valueOf(io, "wchar:"));
    }

    /** The name in parentheses may hold spaces and parentheses, so fields count from its end. */
    private static long cpuTicks(String stat) {
        List<String> fields = FIELDS.splitToList(stat.substring(stat.lastIndexOf(')') + 1));
        return Long.parseLong(fields.get(USER_TIME)) + Long.parseLong(fields.get(SYSTEM_TIME));
    }

    private static long valueOf(String text, String name) {
        for (String line : LINES.split(text)) {
            if (line.startsWith(name)) {
                String value = line.substring(name.length()).replace("kB", "").strip();
                return Long.parseLong(value);
            }
        }
        throw new IllegalArgumentException("no " + name + " in " + text);
    }
}
