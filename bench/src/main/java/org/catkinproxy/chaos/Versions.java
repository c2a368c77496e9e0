package org.catkinproxy.chaos;

import org.catkinproxy.demo.DemoSheet;
import org.catkinproxy.standin.WeightsName;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/**
 * Which versions of the weights were offered to the daemons, and from when they were in force.
 *
 * <p>Versions are offered in rising order. Safe for use by any thread; one lock.
 */
final class Versions {
    /** The time within which an accepted sheet is in force everywhere. */
    static final Duration IN_FORCE_LIMIT = Duration.ofSeconds(3);

    private final List<Accepted> mAccepted = new ArrayList<>();
    private int mOffered;

    /** Returns a version that was not offered before. */
    synchronized int offer() {
        mOffered++;
        return mOffered;
    }

    /** Notes that a sheet with this version was accepted. */
    synchronized void accepted(int version) {
        mAccepted.add(new Accepted(version, System.nanoTime()));
    }

    /** Returns the newest accepted version. */
    synchronized int newest() {
        return mAccepted.stream().mapToInt(Accepted::version).max().orElse(1);
    }

    /** Returns the versions that may answer a request that began at {@code startNanos}. */
    synchronized List<Integer> allowed(long startNanos) {
        int oldest =
                mAccepted.stream()
                        .filter(a -> startNanos - a.nanos() > IN_FORCE_LIMIT.toNanos())
                        .mapToInt(Accepted::version)
                        .max()
                        .orElse(1);
        List<Integer> versions = new ArrayList<>();
        for (int version = mOffered; version >= oldest; version--) {
            versions.add(version);
        }
        return versions;
    }

    /** Returns every version that was ever offered. */
    synchronized List<Integer> offered() {
        List<Integer> versions = new ArrayList<>();
        for (int version = mOffered; version >= 1; version--) {
            versions.add(version);
        }
        return versions;
    }

    static String name(int version) {
        return "v" + version;
    }

    static WeightsName weights(int version) {
        return new WeightsName(DemoSheet.MODEL, DemoSheet.ADAPTER, name(version));
    }

    private record Accepted(int version, long nanos) {}
}
