package org.catkinproxy.quarantine;

import org.catkinproxy.id.RequestId;

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
 * <p>A part is suspect as long as no prompt with it has been proven sound since a failure. It is
 * quarantined after failures of several requests at several engines, each of which was sent after
 * the failure before it; failures at the same time have a common cause that is not the prompt, such
 * as the loss of a rack. The quarantine covers the combination of parts that all these failures
 * have in common and that are suspect. Prompts that have only some of them are served, which shows
 * which of them are sound. A failure beside one that a quarantine explains, at the same engine, is
 * explained as well.
 *
 * <p>Invariant: no quarantine's parts include all parts of another one. Not thread-safe.
 */
public final class PromptQuarantine {
    /** Failures, each sent after the one before, that a quarantine needs. */
    static final int MIN_FAILURES = 3;

    /** Requests among these failures: one request alone may be unlucky. */
    static final int MIN_REQUESTS = 2;

    /** Failures outside the quarantines that a further one needs beside those within. */
    private static final int MIN_UNEXPLAINED_FAILURES = 2;

    /** Engines at which one request may fail. */
    private static final int MAX_FAILURES_PER_REQUEST = 2;

    private static final long FAILURE_LIFETIME_NANOS = 300_000_000_000L;
    private static final long QUARANTINE_NANOS = 600_000_000_000L;

    /** Stands for the time of a success that never was. */
    private static final long NEVER = Long.MIN_VALUE;

    private static final int MAX_FAILURES = 256;
    private static final int MAX_QUARANTINES = 64;
    private static final int MAX_SUCCESSES = 4_096;

    /** Limits that keep a report within one datagram. */
    private static final int MAX_REPORTED_FAILURES = 32;

    private static final int MAX_REPORTED_QUARANTINES = 32;
    private static final int MAX_REPORTED_SUCCESSES = 64;

    private final Map<PromptFailure.Key, PromptFailure> mFailures = new LinkedHashMap<>();
    private final List<Quarantine> mQuarantines = new ArrayList<>();

    /** When a prompt with a part was last proven to be sound, by the part's id. */
    private final Map<Long, Long> mSuccesses =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                    return size() > MAX_SUCCESSES;
                }
            };

    private PromptQuarantine() {}

    /** Returns an object that knows of no failure. */
    public static PromptQuarantine create() {
        return new PromptQuarantine();
    }

    /** Records that a prompt with {@code parts} did not crash its engine. */
    public void recordSuccess(long[] parts, long now) {
        for (long part : parts) {
            recordSuccess(part, now);
        }
    }

    private void recordSuccess(long part, long at) {
        Long earlier = mSuccesses.remove(part);
        mSuccesses.put(part, earlier == null ? at : Math.max(earlier, at));
        if (mQuarantines.stream().anyMatch(q -> q.parts().contains(part))) {
            narrowQuarantines();
        }
    }

    /** Removes the parts that have been proven to be sound from the quarantines. */
    private void narrowQuarantines() {
        List<Quarantine> earlier = List.copyOf(mQuarantines);
        mQuarantines.clear();
        earlier.forEach(this::adopt);
    }

    /**
     * Records a failure that this instance saw.
     *
     * @return the quarantines that begin with it
     */
    public List<Quarantine> recordFailure(PromptFailure failure, long now) {
        expire(now);
        return add(failure) ? quarantineSuspects(failure.parts(), now) : List.of();
    }

    /**
     * Adds what another instance reported.
     *
     * @return the quarantines that begin with it
     */
    public List<Quarantine> merge(QuarantineReport report, long now) {
        expire(now);
        QuarantineReport received = report.plusNanos(now);
        received.successes().forEach((part, at) -> recordSuccess(part, Math.min(at, now)));
        List<Quarantine> begun = new ArrayList<>();
        for (Quarantine quarantine : received.quarantines()) {
            if (quarantine.expiresAt() - now > 0) {
                adopt(quarantine).ifPresent(begun::add);
            }
        }
        Set<Long> parts = new HashSet<>();
        for (PromptFailure failure : received.failures()) {
            if (now - failure.failedAt() < FAILURE_LIFETIME_NANOS && add(failure)) {
                parts.addAll(failure.parts());
            }
        }
        begun.addAll(quarantineSuspects(parts, now));
        return begun;
    }

    private boolean add(PromptFailure failure) {
        if (mFailures.putIfAbsent(failure.key(), failure) != null) {
            return false;
        }
        if (mFailures.size() > MAX_FAILURES) {
            mFailures.remove(leastUseful().key());
        }
        return true;
    }

    /** Returns the oldest failure without suspect parts, or else the oldest one. */
    private PromptFailure leastUseful() {
        return mFailures.values().stream()
                .filter(f -> suspects(f).isEmpty())
                .findFirst()
                .orElseGet(() -> mFailures.values().iterator().next());
    }

    /** Ends what is too old. */
    private void expire(long now) {
        mFailures.values().removeIf(f -> now - f.failedAt() >= FAILURE_LIFETIME_NANOS);
        mQuarantines.removeIf(q -> q.expiresAt() - now <= 0);
    }

    /** Returns the quarantine that covers a prompt with {@code parts}, empty if there is none. */
    public Optional<Quarantine> find(long[] parts, long now) {
        if (mQuarantines.isEmpty()) {
            return Optional.empty();
        }
        Set<Long> all = toSet(parts);
        return mQuarantines.stream()
                .filter(q -> q.expiresAt() - now > 0 && all.containsAll(q.parts()))
                .findFirst();
    }

    /**
     * Returns whether a request that failed may be sent to another engine: it has not failed at too
     * many engines, and was not sent after a failure of another request with the same suspects.
     */
    public boolean mayRepeat(RequestId request, long[] parts, long now) {
        if (find(parts, now).isPresent()) {
            return false;
        }
        List<PromptFailure> own =
                mFailures.values().stream().filter(f -> f.request().equals(request)).toList();
        long ownEngines = own.stream().map(PromptFailure::engine).distinct().count();
        return ownEngines < MAX_FAILURES_PER_REQUEST
                && own.stream().noneMatch(f -> followsAnotherRequest(f, toSet(parts)));
    }

    private boolean followsAnotherRequest(PromptFailure failure, Set<Long> parts) {
        return mFailures.values().stream()
                .filter(f -> !f.request().equals(failure.request()))
                .filter(f -> !f.engine().equals(failure.engine()))
                .filter(f -> failure.sentAt() - f.failedAt() >= 0)
                .map(this::suspects)
                .anyMatch(s -> !s.isEmpty() && parts.containsAll(s));
    }

    private static Set<Long> toSet(long[] parts) {
        Set<Long> all = new HashSet<>();
        for (long part : parts) {
            all.add(part);
        }
        return all;
    }

    /** Returns what the other instances should know; the times are relative to {@code now}. */
    public QuarantineReport report(long now) {
        expire(now);
        Set<EngineStart> explained = explainedEngines();
        Map<Long, Integer> failuresByPart = new HashMap<>();
        Set<Long> mentioned = new HashSet<>();
        for (PromptFailure failure : mFailures.values()) {
            mentioned.addAll(failure.parts());
            suspects(failure).forEach(p -> failuresByPart.merge(p, 1, Integer::sum));
        }
        mQuarantines.forEach(q -> mentioned.addAll(q.parts()));
        List<PromptFailure> failures =
                mFailures.values().stream()
                        .filter(f -> !explained.contains(f.engine()) && !suspects(f).isEmpty())
                        .sorted(
                                Comparator.comparingInt(
                                                (PromptFailure f) ->
                                                        -mostFailures(f, failuresByPart))
                                        .thenComparingLong(f -> now - f.failedAt()))
                        .limit(MAX_REPORTED_FAILURES)
                        .toList();
        return new QuarantineReport(
                        failures,
                        latestSuccesses(mentioned, now),
                        mQuarantines.stream().limit(MAX_REPORTED_QUARANTINES).toList())
                .plusNanos(-now);
    }

    private int mostFailures(PromptFailure failure, Map<Long, Integer> failuresByPart) {
        return suspects(failure).stream().mapToInt(failuresByPart::get).max().orElse(0);
    }

    private Map<Long, Long> latestSuccesses(Set<Long> parts, long now) {
        return parts.stream()
                .filter(mSuccesses::containsKey)
                .sorted(Comparator.comparingLong(p -> now - mSuccesses.get(p)))
                .limit(MAX_REPORTED_SUCCESSES)
                .collect(Collectors.toMap(p -> p, mSuccesses::get));
    }

    /** Returns the number of quarantines in force. */
    public int size() {
        return mQuarantines.size();
    }

    private boolean isProvenSince(long part, long at) {
        Long success = mSuccesses.get(part);
        return success != null && success - at > 0;
    }

    /** Returns the parts of the failed prompt that have not been proven sound since. */
    private Set<Long> suspects(PromptFailure failure) {
        return unproven(failure.parts(), failure.failedAt());
    }

    private Set<Long> unproven(Set<Long> parts, long since) {
        return parts.stream().filter(p -> !isProvenSince(p, since)).collect(Collectors.toSet());
    }

    /** Quarantines the suspects among {@code parts} for which there is enough evidence. */
    private List<Quarantine> quarantineSuspects(Set<Long> parts, long now) {
        List<Quarantine> begun = new ArrayList<>();
        Set<Long> remaining = new HashSet<>(parts);
        Optional<Long> suspect = mostSuspect(remaining);
        while (suspect.isPresent() && mQuarantines.size() < MAX_QUARANTINES) {
            adopt(quarantine(suspect.get(), now)).ifPresent(begun::add);
            remaining.remove(suspect.get());
            suspect = mostSuspect(remaining);
        }
        return begun;
    }

    /**
     * Returns the part with enough evidence that was proven sound least recently, or never, and of
     * those the one with the most failures.
     */
    private Optional<Long> mostSuspect(Set<Long> parts) {
        Set<EngineStart> explained = explainedEngines();
        return parts.stream()
                .filter(p -> hasEnoughEvidence(p, explained))
                .min(
                        Comparator.comparingLong((Long p) -> mSuccesses.getOrDefault(p, NEVER))
                                .thenComparingInt(p -> -failuresOf(p).size()));
    }

    private boolean hasEnoughEvidence(long part, Set<EngineStart> explained) {
        List<PromptFailure> all = failuresOf(part);
        if (all.size() < MIN_FAILURES) {
            return false;
        }
        List<PromptFailure> unexplained =
                all.stream().filter(f -> !explained.contains(f.engine())).toList();
        return isEnough(all, MIN_FAILURES) && isEnough(unexplained, MIN_UNEXPLAINED_FAILURES);
    }

    private static boolean isEnough(List<PromptFailure> failures, int minFailures) {
        long requests = failures.stream().map(PromptFailure::request).distinct().count();
        return requests >= MIN_REQUESTS && successiveFailures(failures) >= minFailures;
    }

    /** Returns how many failures at different engines were each sent after the one before. */
    private static int successiveFailures(List<PromptFailure> failures) {
        List<PromptFailure> inOrder =
                failures.stream().sorted(Comparator.comparing(PromptFailure::failedAt)).toList();
        Set<EngineStart> engines = new HashSet<>();
        PromptFailure last = null;
        for (PromptFailure failure : inOrder) {
            boolean isSuccessive = last == null || failure.sentAt() - last.failedAt() >= 0;
            if (isSuccessive && engines.add(failure.engine())) {
                last = failure;
            }
        }
        return engines.size();
    }

    private List<PromptFailure> failuresOf(long part) {
        return mFailures.values().stream().filter(f -> suspects(f).contains(part)).toList();
    }

    /** Returns the engines at which a prompt failed that a quarantine covers. */
    private Set<EngineStart> explainedEngines() {
        if (mQuarantines.isEmpty()) {
            return Set.of();
        }
        return mFailures.values().stream()
                .filter(f -> mQuarantines.stream().anyMatch(q -> f.parts().containsAll(q.parts())))
                .map(PromptFailure::engine)
                .collect(Collectors.toSet());
    }

    /** Returns the quarantine of the suspects that all failures of {@code part} have in common. */
    private Quarantine quarantine(long part, long now) {
        List<PromptFailure> failures = failuresOf(part);
        Set<Long> common = new HashSet<>(suspects(failures.get(0)));
        failures.forEach(f -> common.retainAll(suspects(f)));
        long failedAt = failures.stream().mapToLong(PromptFailure::failedAt).max().orElse(now);
        return new Quarantine(common, failedAt, now + QUARANTINE_NANOS);
    }

    /**
     * Puts a quarantine in force for those of its parts that have not been proven sound since, and
     * ends those that it includes.
     *
     * @return the quarantine, empty if it has no such parts or another one includes it
     */
    private Optional<Quarantine> adopt(Quarantine quarantine) {
        Set<Long> parts = unproven(quarantine.parts(), quarantine.failedAt());
        boolean isIncluded = mQuarantines.stream().anyMatch(q -> parts.containsAll(q.parts()));
        if (parts.isEmpty() || isIncluded) {
            return Optional.empty();
        }
        mQuarantines.removeIf(q -> q.parts().containsAll(parts));
        Quarantine adopted = quarantine.withParts(parts);
        mQuarantines.add(adopted);
        return Optional.of(adopted);
    }
}
