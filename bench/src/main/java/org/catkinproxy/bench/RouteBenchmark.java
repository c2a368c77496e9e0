package org.catkinproxy.bench;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

import java.util.concurrent.TimeUnit;

/** What one routing decision and one cache event cost. Used by one thread. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class RouteBenchmark {
    /** Engines known to the router. */
    @Param({"6", "13", "7200"})
    public int engines;

    private DispatcherFixture mFixture;

    /** Fills the caches. */
    @Setup(Level.Iteration)
    public void setUp() {
        mFixture = DispatcherFixture.create(engines);
    }

    /** Measures an arrival with its dispatch, and the withdrawal. */
    @Benchmark
    public Object decision() {
        return mFixture.decide();
    }

    /** Measures the event of one stored block. */
    @Benchmark
    public Object cacheEvent() {
        return mFixture.storeOne();
    }
}
