package org.catkinproxy.quarantine;

import org.catkinproxy.serving.UpstreamStart;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A prompt part that may have crashed engines, and the evidence for it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param part the part's id
 * @param wasProven whether a prompt with the part was proven sound before the failures
 * @param isInCombination whether the part is one of several that a quarantine covers together
 * @param failures the failures of prompts with the part since then
 * @param unexplained those of them at engines where no prompt failed that a quarantine covers
 */
record Suspect(
        long part,
        boolean wasProven,
        boolean isInCombination,
        List<PromptFailure> failures,
        List<PromptFailure> unexplained) {
    /** Failures, each sent after the one before, that are needed. */
    private static final int MIN_FAILURES = 3;

    /**
     * Failures that are needed if the part was sound before, if another one is as suspect, or if
     * engines crashed late: a crash breaks more sound prompts late in their runs than early.
     */
    private static final int MIN_FAILURES_IF_DOUBTFUL = 5;

    /** Time between two crashes that have no common cause but the prompt. */
    private static final long MIN_SPACE_NANOS = 300_000_000L;

    /** Failures among them that no quarantine explains. */
    private static final int MIN_UNEXPLAINED_FAILURES = 2;

    /** The same for a part of a combination that has already been quarantined. */
    private static final int MIN_UNEXPLAINED_FAILURES_OF_COMBINATION = 1;

    /** Requests among the failures: one request alone may be unlucky. */
    private static final int MIN_REQUESTS = 2;

    /**
     * Orders suspects, the likeliest culprit first: a part that was never proven sound, of several
     * one whose combination with others is quarantined while engines crash without these others,
     * and then the one that explains most crashes with few requests. Many requests with a common
     * part fail beside the culprit in each crash.
     */
    static final Comparator<Suspect> LIKELIEST_FIRST =
            Comparator.comparing(Suspect::wasProven)
                    .thenComparing(s -> !s.isLikeliestOfCombination())
                    .thenComparingInt(s -> requestCount(s.failures) - 2 * crashCount(s.failures));

    /** Copies the lists. */
    Suspect {
        failures = List.copyOf(failures);
        unexplained = List.copyOf(unexplained);
    }

    /**
     * Returns a suspect.
     *
     * @param explained the engines where a prompt failed that a quarantine covers
     */
    static Suspect of(
            long part,
            boolean wasProven,
            boolean isInCombination,
            List<PromptFailure> failures,
            Set<UpstreamStart> explained) {
        List<PromptFailure> unexplained =
                failures.stream().filter(f -> !explained.contains(f.engine())).toList();
        return new Suspect(part, wasProven, isInCombination, failures, unexplained);
    }

    /** Returns the number of engines that crashed and are not explained. */
    int unexplainedCrashCount() {
        return crashCount(unexplained);
    }

    /** Returns whether the failures cannot be a coincidence. */
    boolean hasEnoughEvidence() {
        return requestCount(failures) >= MIN_REQUESTS
                && requestCount(unexplained) >= (isLikeliestOfCombination() ? 1 : MIN_REQUESTS)
                && hasEnoughFailures()
                && successiveCount(unexplained)
                        >= (isLikeliestOfCombination()
                                ? MIN_UNEXPLAINED_FAILURES_OF_COMBINATION
                                : MIN_UNEXPLAINED_FAILURES);
    }

    private boolean hasEnoughFailures() {
        List<PromptFailure> early = failures.stream().filter(f -> !f.late()).toList();
        return Math.max(successiveCount(failures), spacedCount(failures))
                        >= MIN_FAILURES_IF_DOUBTFUL
                || (!wasProven && successiveCount(early) >= MIN_FAILURES);
    }

    /**
     * Returns whether the failures that led to the quarantine of a combination are evidence against
     * the part by itself. A part that was sound before may only be in the combination by chance.
     */
    private boolean isLikeliestOfCombination() {
        return isInCombination && !wasProven;
    }

    /**
     * Returns whether {@code other} is as likely, and the evidence does not yet suffice for both.
     */
    boolean isRivalledBy(Suspect other) {
        return LIKELIEST_FIRST.compare(this, other) == 0
                && !other.failures.containsAll(failures)
                && Math.max(successiveCount(failures), spacedCount(failures))
                        < MIN_FAILURES_IF_DOUBTFUL;
    }

    private static int crashCount(List<PromptFailure> failures) {
        return (int) failures.stream().map(PromptFailure::engine).distinct().count();
    }

    private static int requestCount(List<PromptFailure> failures) {
        return (int) failures.stream().map(PromptFailure::request).distinct().count();
    }

    /**
     * Returns how many failures at different engines were each sent after the one before. Failures
     * at the same time have a common cause that is not the prompt, such as the loss of a rack.
     */
    private static int successiveCount(List<PromptFailure> failures) {
        List<PromptFailure> inOrder =
                failures.stream()
                        .sorted(Comparator.comparingLong(PromptFailure::failedAt))
                        .toList();
        Set<UpstreamStart> engines = new HashSet<>();
        PromptFailure last = null;
        for (PromptFailure failure : inOrder) {
            if (isSuccessor(failure, last) && engines.add(failure.engine())) {
                last = failure;
            }
        }
        return engines.size();
    }

    /**
     * Returns how many failures at different engines came one after the other, whenever they were
     * sent: prompts that crash engines late are sent again before the first engine has crashed.
     */
    private static int spacedCount(List<PromptFailure> failures) {
        List<PromptFailure> inOrder =
                failures.stream()
                        .sorted(Comparator.comparingLong(PromptFailure::failedAt))
                        .toList();
        Set<UpstreamStart> engines = new HashSet<>();
        long nextAt = Long.MIN_VALUE;
        for (PromptFailure failure : inOrder) {
            if (failure.failedAt() >= nextAt && engines.add(failure.engine())) {
                nextAt = failure.failedAt() + MIN_SPACE_NANOS;
            }
        }
        return engines.size();
    }

    /** A request is at one engine at a time, whatever the clocks of different instances say. */
    private static boolean isSuccessor(PromptFailure failure, PromptFailure last) {
        return last == null
                || failure.request().equals(last.request())
                || failure.sentAt() - last.failedAt() >= 0;
    }
}
