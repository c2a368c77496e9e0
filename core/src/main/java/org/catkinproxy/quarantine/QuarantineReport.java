package org.catkinproxy.quarantine;

import java.util.List;
import java.util.Set;

/**
 * What one instance knows of prompts that crash engines, for the other instances.
 *
 * <p>All times are relative to the moment at which the report was made, so that instances need no
 * common clock. Immutable and thread-safe.
 *
 * @param failures failures that no quarantine explains, and those whose suspects are all proven
 * @param provenParts the parts of these failures that have ever been proven to be sound
 * @param quarantines the quarantines, including lifted ones
 */
public record QuarantineReport(
        List<PromptFailure> failures, Set<Long> provenParts, List<Quarantine> quarantines) {
    /** Copies the components. */
    public QuarantineReport {
        failures = List.copyOf(failures);
        provenParts = Set.copyOf(provenParts);
        quarantines = List.copyOf(quarantines);
    }

    /** Returns a report of quarantines whose times are those of the owner's clock. */
    public static QuarantineReport ofStored(List<Quarantine> quarantines, long now) {
        return new QuarantineReport(List.of(), Set.of(), quarantines).plusNanos(-now);
    }

    /** Returns whether the report says nothing. */
    public boolean isEmpty() {
        return failures.isEmpty() && quarantines.isEmpty();
    }

    /** Returns the report with {@code nanos} added to its times. */
    QuarantineReport plusNanos(long nanos) {
        return new QuarantineReport(
                failures.stream().map(f -> f.plusNanos(nanos)).toList(),
                provenParts,
                quarantines.stream().map(q -> q.plusNanos(nanos)).toList());
    }
}
