package org.catkinproxy.bench;

import java.util.List;

/**
 * How a run goes: its load over time, what fails, and the spans that are measured. Immutable.
 *
 * @param phases the load, one phase after the other
 * @param fault what happens at {@code faultNanos}
 * @param faultNanos when it happens
 * @param spans the spans of time whose calls are measured
 */
record Scenario(List<Phase> phases, Fault fault, long faultNanos, List<Span> spans) {
    private static final long WARM_UP = 20 * EventLoop.SECOND;
    private static final double USUAL_LOAD = 0.8;

    /** A stretch of time under one load, as a share of the capacity. */
    record Phase(long lengthNanos, double load) {}

    /** A stretch of time that is measured. */
    record Span(long fromNanos, long toNanos) {
        boolean contains(long nanos) {
            return nanos >= fromNanos && nanos < toNanos;
        }

        double seconds() {
            return (double) (toNanos - fromNanos) / EventLoop.SECOND;
        }
    }

    /** What fails. */
    enum Fault {
        NONE,
        ENGINE_CRASH,
        ROUTERS_RESTART,
        PREFIX_SHIFT
    }

    Scenario {
        phases = List.copyOf(phases);
        spans = List.copyOf(spans);
    }

    /** One load, measured once all is warm. */
    static Scenario steady(double load, long seconds) {
        long end = WARM_UP + seconds * EventLoop.SECOND;
        return new Scenario(
                List.of(new Phase(end, load)), Fault.NONE, 0, List.of(new Span(WARM_UP, end)));
    }

    /** Spans: unloaded, at capacity, ten minutes over it, and from 10 s after the peak. */
    static Scenario overload() {
        long unloaded = 80 * EventLoop.SECOND;
        long full = unloaded + 120 * EventLoop.SECOND;
        long over = full + 600 * EventLoop.SECOND;
        long after = over + 40 * EventLoop.SECOND;
        long settle = 10 * EventLoop.SECOND;
        return new Scenario(
                List.of(
                        new Phase(unloaded, 0.25),
                        new Phase(full - unloaded, 1),
                        new Phase(over - full, 1.5),
                        new Phase(after - over, USUAL_LOAD)),
                Fault.NONE,
                0,
                List.of(
                        new Span(WARM_UP, unloaded),
                        new Span(unloaded + settle, full),
                        new Span(full, over),
                        new Span(over + settle, after)));
    }

    /** Spans: the half minute before the fault, the 10 s after it, and the 20 s after these. */
    static Scenario fault(Fault fault) {
        long at = 60 * EventLoop.SECOND;
        long back = at + 10 * EventLoop.SECOND;
        long end = back + 20 * EventLoop.SECOND;
        return new Scenario(
                List.of(new Phase(end, USUAL_LOAD)),
                fault,
                at,
                List.of(
                        new Span(at - 30 * EventLoop.SECOND, at),
                        new Span(at, back),
                        new Span(back, end)));
    }

    long endNanos() {
        return phases.stream().mapToLong(Phase::lengthNanos).sum();
    }

    /** Returns the load at a time, as a share of the capacity. */
    double loadAt(long nanos) {
        long end = 0;
        for (Phase phase : phases) {
            end += phase.lengthNanos();
            if (nanos < end) {
                return phase.load();
            }
        }
        return 0;
    }
}
