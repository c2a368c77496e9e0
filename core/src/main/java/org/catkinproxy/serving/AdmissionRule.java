package org.catkinproxy.serving;

import java.time.Duration;

/**
 * Decides whether a prompt is sent to an engine now or its caller is told to come back.
 *
 * <p>Answers the load pattern of engines that are lost, or that lose their caches, under load:
 * prompts then wait at the engines that are left until their callers give up, and what was computed
 * for these is lost, so that the queues never end. Prompts that wait less than their goal allows
 * are served; the others come back once, when there may be room, and may then wait longer. The more
 * urgent a route, the longer its prompts may wait, which leaves them room when little is left; the
 * rank of a workspace is for the engines' queues and does not count here, since prompts of one kind
 * would else be turned away before those of a less urgent kind. Only the wait counts, so that long
 * prompts are not turned away more often than short ones. Stateless, and so safe for use by any
 * thread.
 */
public final class AdmissionRule {
    /** Callers give a stream up after a gap of this time at least. */
    private static final Duration LEAST_PATIENCE = Duration.ofSeconds(2);

    /** They wait longer where the goal, or the longest pause, is long. */
    private static final int GOALS_OF_PATIENCE = 4;

    private static final int GAPS_OF_PATIENCE = 8;

    /** Parts of the goal that a prompt of the most urgent rank, and of others, may wait. */
    private static final double URGENT_GOALS = 2;

    private static final double OTHER_GOALS = 0.5;

    /** Callers that come back may wait so much longer. */
    private static final double RETURN_FACTOR = 2;

    /** Less than this part of the route's time is left to callers that come back. */
    private static final double RETURN_SHARE = 0.9;

    /** What is decided. */
    public enum Verdict {
        /** The prompt is sent. */
        ADMIT,
        /** The caller is told to come back: there may be room soon. */
        COME_BACK,
        /** The first token would come after the caller has given up. */
        HOPELESS;

        /** Tells whether the prompt is sent. */
        public boolean admits() {
            return this == ADMIT;
        }
    }

    private AdmissionRule() {}

    /**
     * Decides.
     *
     * @param waitNanos how long it would wait behind others at the best engine
     * @param firstTokenNanos how long its first token would take there, the wait included
     * @param leftNanos how long its caller still waits for the whole answer
     */
    public static Verdict decide(
            Route route, double waitNanos, double firstTokenNanos, long leftNanos) {
        if (waitNanos <= 0) {
            return Verdict.ADMIT;
        }
        if (firstTokenNanos > Math.min(leftNanos, patienceNanos(route))) {
            return Verdict.HOPELESS;
        }
        boolean returns = leftNanos < RETURN_SHARE * route.timeout().toNanos();
        double goals = route.priority() == 0 ? URGENT_GOALS : OTHER_GOALS;
        double limit = goals * route.goal().toNanos() * (returns ? RETURN_FACTOR : 1);
        return waitNanos <= limit ? Verdict.ADMIT : Verdict.COME_BACK;
    }

    private static long patienceNanos(Route route) {
        long goals = GOALS_OF_PATIENCE * route.goal().toNanos();
        long gaps = GAPS_OF_PATIENCE * route.longestPause().toNanos();
        return Math.max(LEAST_PATIENCE.toNanos(), Math.max(goals, gaps));
    }
}
