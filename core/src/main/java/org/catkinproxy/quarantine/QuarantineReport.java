package org.catkinproxy.quarantine;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What one instance knows of prompts that crash engines, for the other instances.
 *
 * <p>All times are relative to the moment at which the report was made, so that instances need no
 * common clock. Immutable and thread-safe.
 *
 * @param failures failures that no quarantine explains
 * @param successes when a prompt with a part was last proven to be sound, by the part's id; only
 *     parts of failures and quarantines are listed
 * @param quarantines the quarantines in force
 */
public record QuarantineReport(
        List<PromptFailure> failures, Map<Long, Long> successes, List<Quarantine> quarantines) {
    /** Copies the components. */
    public QuarantineReport {
        failures = List.copyOf(failures);
        successes = Map.copyOf(successes);
        quarantines = List.copyOf(quarantines);
    }

    /** Returns whether the report says nothing. */
    public boolean isEmpty() {
        return failures.isEmpty() && successes.isEmpty() && quarantines.isEmpty();
    }

    /** Returns the report with {@code nanos} added to its times. */
    QuarantineReport plusNanos(long nanos) {
        Map<Long, Long> shifted = new HashMap<>();
        successes.forEach((part, at) -> shifted.put(part, at + nanos));
        return new QuarantineReport(
                failures.stream().map(f -> f.plusNanos(nanos)).toList(),
                shifted,
                quarantines.stream().map(q -> q.plusNanos(nanos)).toList());
    }
}
