package org.catkinproxy.quarantine;

import com.google.common.primitives.Longs;

import org.catkinproxy.id.RequestId;
import org.catkinproxy.serving.UpstreamStart;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Finds the prompt parts that crash engines, from the failures that all instances saw.
 *
 * <p>The load pattern: a part of a prompt crashes every engine that begins to generate on it.
 * Requests with the part arrive at all instances, each of which sees few of the crashes, and every
 * crash breaks sound requests too. So the evidence of all instances is joined: each reports its
 * failures to the others, which pass them on.
 *
 * <p>A part is suspect as long as no prompt with it has been proven sound since a failure: by the
 * end of a run, or, if the engine failed early in its run, by a run that has gone on for longer. It
 * is quarantined after failures of several requests at several engines. The quarantine covers the
 * combination of parts that all these failures have in common and that are suspect. Prompts that
 * have only some of them are served, which shows which of them are sound; if one of these prompts
 * fails too, a part of it that was never proven sound is quarantined by itself. A failure beside
 * one that a quarantine explains, at the same engine, is explained as well.
 *
 * <p>What instances know of a failure or of a quarantine only shrinks once it is known, by the
 * parts that are proven sound, so that reports may arrive in any order and any number of times. Not
 * thread-safe.
 */
public final class PromptQuarantine {
    /** Time in which the other instances report what they saw of a crash. */
    public static final long SETTLE_NANOS = 50_000_000L;

    /** Minimum time between two crashes that are not the same event, such as the loss of a rack. */
    private static final long MIN_CRASH_DISTANCE_NANOS = 20_000_000L;

    /** Engines at which one request may fail. */
    private static final int MAX_FAILURES_PER_REQUEST = 2;

    private static final long FAILURE_LIFETIME_NANOS = 300_000_000_000L;
    private static final long QUARANTINE_NANOS = 600_000_000_000L;

    /** Time for which the other instances are told that all parts of a failure are sound. */
    private static final long REPORT_CLEARED_NANOS = 20_000_000_000L;

    private static final int MAX_FAILURES = 256;
    private static final int MAX_QUARANTINES = 64;
    private static final int MAX_PROVEN_PARTS = 4_096;

    /** Limits that keep a report within one datagram. */
    private static final int MAX_REPORTED_FAILURES = 32;

    private static final int MAX_REPORTED_QUARANTINES = 16;
    private static final int MAX_REPORTED_PROVEN_PARTS = 64;

    private final Map<PromptFailure.Key, PromptFailure> mFailures = new LinkedHashMap<>();
    private final Map<Quarantine.Key, Quarantine> mQuarantines = new LinkedHashMap<>();

    /** When this instance last saw a prompt with a part proven to be sound, by the part's id. */
    private final Map<Long, Long> mProvenAt = boundedMap();

    /** When this instance last saw a run on a part go on beyond the time of early failures. */
    private final Map<Long, Long> mOutlivedAt = boundedMap();

    private boolean mUndecided;

    private PromptQuarantine() {}

    /** Returns an object that knows of no failure. */
    public static PromptQuarantine create() {
        return new PromptQuarantine();
    }

    private static Map<Long, Long> boundedMap() {
        return new LinkedHashMap<>() {
            @Override
            protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                return size() > MAX_PROVEN_PARTS;
            }
        };
    }

    /**
     * Records that a prompt with {@code parts} did not crash its engine.
     *
     * @return whether one of the parts was suspect until now
     */
    public boolean recordSuccess(long[] parts, long now) {
        boolean wasSuspect = false;
        for (long part : parts) {
            mProvenAt.remove(part);
            mProvenAt.put(part, now);
            wasSuspect |= clear(part);
        }
        return wasSuspect;
    }

    /**
     * Records that a run on a prompt with {@code parts} goes on after the time in which a failure
     * counts as early. It proves nothing about engines that crash later in their runs.
     *
     * @return whether one of the parts was suspect until now
     */
    public boolean recordSurvival(long[] parts, long now) {
        boolean wasSuspect = false;
        for (long part : parts) {
            mOutlivedAt.remove(part);
            mOutlivedAt.put(part, now);
            boolean isSuspect =
                    mFailures.values().stream()
                            .anyMatch(f -> !f.late() && f.suspects().contains(part));
            if (isSuspect) {
                mFailures.replaceAll((k, f) -> f.late() ? f : f.without(part));
            }
            wasSuspect |= isSuspect;
        }
        return wasSuspect;
    }

    /** Removes a part from all suspects, and returns whether it was one. */
    private boolean clear(long part) {
        boolean isFailureSuspect =
                mFailures.values().stream().anyMatch(f -> f.suspects().contains(part));
        if (isFailureSuspect) {
            mFailures.replaceAll((k, f) -> f.without(part));
        }
        boolean isQuarantined =
                mQuarantines.values().stream().anyMatch(q -> q.parts().contains(part));
        if (isQuarantined) {
            mQuarantines.replaceAll((k, q) -> q.without(part));
        }
        return isFailureSuspect || isQuarantined;
    }

    /** Records a failure that this instance saw; {@link #decide} weighs it. */
    public void recordFailure(PromptFailure failure, long now) {
        expire(now);
        add(failure);
    }

    /**
     * Adds what another instance reported; {@link #decide} weighs the failures.
     *
     * @return the quarantines of the other instance that come into force here
     */
    public List<Quarantine> merge(QuarantineReport report, long now) {
        expire(now);
        QuarantineReport received = report.plusNanos(now);
        received.provenParts().forEach(p -> mProvenAt.putIfAbsent(p, Long.MIN_VALUE));
        received.failures().stream()
                .filter(f -> now - f.failedAt() < FAILURE_LIFETIME_NANOS)
                .forEach(this::add);
        List<Quarantine> begun = new ArrayList<>();
        for (Quarantine quarantine : received.quarantines()) {
            if (begin(quarantine, now)) {
                begun.add(quarantine);
            }
        }
        return begun;
    }

    private void add(PromptFailure failure) {
        PromptFailure known = mFailures.get(failure.key());
        if (known != null) {
            mFailures.put(failure.key(), known.intersect(failure));
            return;
        }
        PromptFailure current = failure;
        for (long part : failure.suspects()) {
            if (clearedAt(part, failure) > failure.failedAt()) {
                current = current.without(part);
            }
        }
        mFailures.put(failure.key(), current);
        mUndecided = true;
        if (mFailures.size() > MAX_FAILURES) {
            mFailures.remove(leastUseful().key());
        }
    }

    /** Returns when a part was last proven sound of such a failure. */
    private long clearedAt(long part, PromptFailure failure) {
        long provenAt = mProvenAt.getOrDefault(part, Long.MIN_VALUE);
        return failure.late()
                ? provenAt
                : Math.max(provenAt, mOutlivedAt.getOrDefault(part, Long.MIN_VALUE));
    }

    /** Returns the oldest failure without suspect parts, or else the oldest one. */
    private PromptFailure leastUseful() {
        return mFailures.values().stream()
                .filter(f -> f.suspects().isEmpty())
                .findFirst()
                .orElseGet(() -> mFailures.values().iterator().next());
    }

    /** Adds a quarantine, and returns whether it comes into force and no other one includes it. */
    private boolean begin(Quarantine quarantine, long now) {
        Quarantine known = mQuarantines.get(quarantine.key());
        if (known != null) {
            mQuarantines.put(quarantine.key(), known.intersect(quarantine));
            return false;
        }
        if (mQuarantines.size() >= MAX_QUARANTINES) {
            mQuarantines.values().removeIf(q -> !q.isInForce(now));
        }
        if (mQuarantines.size() >= MAX_QUARANTINES || quarantine.expiresAt() - now <= 0) {
            return false;
        }
        boolean isIncluded =
                mQuarantines.values().stream().anyMatch(q -> q.covers(quarantine.parts(), now));
        mQuarantines.put(quarantine.key(), quarantine);
        return !isIncluded && quarantine.isInForce(now);
    }

    /** Ends what is too old. */
    private void expire(long now) {
        mFailures.values().removeIf(f -> now - f.failedAt() >= FAILURE_LIFETIME_NANOS);
        mQuarantines.values().removeIf(q -> q.expiresAt() - now <= 0);
    }

    /** Returns the quarantine that covers a prompt with {@code parts}, empty if there is none. */
    public Optional<Quarantine> find(long[] parts, long now) {
        if (mQuarantines.isEmpty()) {
            return Optional.empty();
        }
        Set<Long> all = Set.copyOf(Longs.asList(parts));
        return mQuarantines.values().stream().filter(q -> q.covers(all, now)).findFirst();
    }

    /** Returns all quarantines, including lifted ones. */
    public List<Quarantine> all(long now) {
        expire(now);
        return List.copyOf(mQuarantines.values());
    }

    /** Returns the number of quarantines in force. */
    public int size(long now) {
        return (int) mQuarantines.values().stream().filter(q -> q.isInForce(now)).count();
    }

    /**
     * Returns whether a request that failed may be sent to another engine: it has not failed at too
     * many engines, and did not fail after another request with the same suspects, at another
     * engine that did not crash at the same time.
     */
    public boolean mayRepeat(RequestId request, long[] parts, long now) {
        if (find(parts, now).isPresent()) {
            return false;
        }
        Set<Long> all = Set.copyOf(Longs.asList(parts));
        List<PromptFailure> own =
                mFailures.values().stream().filter(f -> f.request().equals(request)).toList();
        long ownEngines = own.stream().map(PromptFailure::engine).distinct().count();
        return ownEngines < MAX_FAILURES_PER_REQUEST
                && own.stream().noneMatch(f -> followsAnotherRequest(f, all));
    }

    private boolean followsAnotherRequest(PromptFailure failure, Set<Long> parts) {
        return mFailures.values().stream()
                .filter(f -> !f.request().equals(failure.request()))
                .filter(f -> !f.engine().equals(failure.engine()))
                .filter(f -> failure.failedAt() - f.failedAt() >= MIN_CRASH_DISTANCE_NANOS)
                .map(PromptFailure::suspects)
                .anyMatch(s -> !s.isEmpty() && parts.containsAll(s));
    }

    /** Returns whether there are failures that {@link #decide} has not weighed. */
    public boolean isUndecided() {
        return mUndecided;
    }

    /**
     * Quarantines the parts for which there is enough evidence. Must be called {@link
     * #SETTLE_NANOS} after a new failure, when the other instances have reported what they saw of
     * the same crash.
     *
     * @return the quarantines that begin
     */
    public List<Quarantine> decide(long now) {
        expire(now);
        mUndecided = false;
        List<Quarantine> begun = new ArrayList<>();
        Optional<Suspect> culprit = findCulprit(now);
        while (culprit.isPresent()) {
            Quarantine quarantine = quarantine(culprit.get(), now);
            boolean isNew = begin(quarantine, now);
            if (isNew) {
                begun.add(quarantine);
            }
            culprit = isNew ? findCulprit(now) : Optional.empty();
        }
        return begun;
    }

    /**
     * Returns the likeliest culprit, empty if the evidence does not suffice. The culprit explains
     * most crashes, or one less: failures of sound prompts are spread over more parts.
     */
    private Optional<Suspect> findCulprit(long now) {
        List<Suspect> suspects = suspects(now);
        int mostCrashes =
                suspects.stream().mapToInt(Suspect::unexplainedCrashCount).max().orElse(0);
        List<Suspect> likeliest =
                suspects.stream()
                        .filter(s -> s.unexplainedCrashCount() >= mostCrashes - 1)
                        .sorted(Suspect.LIKELIEST_FIRST)
                        .toList();
        return likeliest.stream()
                .findFirst()
                .filter(Suspect::hasEnoughEvidence)
                .filter(s -> likeliest.stream().noneMatch(s::isRivalledBy));
    }

    private List<Suspect> suspects(long now) {
        Set<UpstreamStart> explained = explainedEngines(now);
        Set<Long> combined = combinedParts(now);
        Map<Long, List<PromptFailure>> failuresByPart = new HashMap<>();
        for (PromptFailure failure : mFailures.values()) {
            for (long part : failure.suspects()) {
                failuresByPart.computeIfAbsent(part, p -> new ArrayList<>()).add(failure);
            }
        }
        return failuresByPart.entrySet().stream()
                .map(
                        e ->
                                Suspect.of(
                                        e.getKey(),
                                        wasProven(e.getKey(), e.getValue()),
                                        combined.contains(e.getKey()),
                                        e.getValue(),
                                        explained))
                .toList();
    }

    /** Returns whether a part was ever proven sound of failures of the kind that it has now. */
    private boolean wasProven(long part, List<PromptFailure> failures) {
        return mProvenAt.containsKey(part)
                || (mOutlivedAt.containsKey(part)
                        && failures.stream().noneMatch(PromptFailure::late));
    }

    /** Returns the parts that quarantines in force cover only together with other ones. */
    private Set<Long> combinedParts(long now) {
        return mQuarantines.values().stream()
                .filter(q -> q.isInForce(now) && q.parts().size() > 1)
                .flatMap(q -> q.parts().stream())
                .collect(Collectors.toSet());
    }

    /** Returns the engines at which a prompt failed that a quarantine covers. */
    private Set<UpstreamStart> explainedEngines(long now) {
        return mFailures.values().stream()
                .filter(
                        f ->
                                mQuarantines.values().stream()
                                        .anyMatch(q -> q.covers(f.suspects(), now)))
                .map(PromptFailure::engine)
                .collect(Collectors.toSet());
    }

    /** Returns the quarantine of the suspects that all failures of the culprit share. */
    private static Quarantine quarantine(Suspect culprit, long now) {
        Set<Long> common = new HashSet<>(culprit.failures().get(0).suspects());
        culprit.failures().forEach(f -> common.retainAll(f.suspects()));
        PromptFailure newest =
                culprit.failures().stream()
                        .max(Comparator.comparingLong(PromptFailure::failedAt))
                        .orElseThrow();
        return new Quarantine(
                new Quarantine.Key(newest.key(), common), common, now + QUARANTINE_NANOS);
    }

    /** Returns what the other instances should know; the times are relative to {@code now}. */
    public QuarantineReport report(long now) {
        expire(now);
        List<PromptFailure> failures = reportedFailures(now);
        Set<Long> proven =
                failures.stream()
                        .flatMap(f -> f.suspects().stream())
                        .filter(mProvenAt::containsKey)
                        .limit(MAX_REPORTED_PROVEN_PARTS)
                        .collect(Collectors.toSet());
        List<Quarantine> quarantines =
                mQuarantines.values().stream().limit(MAX_REPORTED_QUARANTINES).toList();
        return new QuarantineReport(failures, proven, quarantines).plusNanos(-now);
    }

    /**
     * Returns the unexplained failures, those first that have a suspect in common with most others,
     * and of these the newest first.
     */
    private List<PromptFailure> reportedFailures(long now) {
        Set<UpstreamStart> explained = explainedEngines(now);
        Map<Long, Integer> failuresByPart = new HashMap<>();
        mFailures
                .values()
                .forEach(f -> f.suspects().forEach(p -> failuresByPart.merge(p, 1, Integer::sum)));
        return mFailures.values().stream()
                .filter(f -> !explained.contains(f.engine()))
                .filter(f -> !f.suspects().isEmpty() || now - f.failedAt() < REPORT_CLEARED_NANOS)
                .sorted(
                        Comparator.comparingInt(
                                        (PromptFailure f) -> mostFailures(f, failuresByPart))
                                .reversed()
                                .thenComparingLong(f -> now - f.failedAt()))
                .limit(MAX_REPORTED_FAILURES)
                .toList();
    }

    private static int mostFailures(PromptFailure failure, Map<Long, Integer> failuresByPart) {
        return failure.suspects().stream().mapToInt(failuresByPart::get).max().orElse(0);
    }
}
