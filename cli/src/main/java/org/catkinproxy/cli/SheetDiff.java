package org.catkinproxy.cli;

import org.catkinproxy.config.SheetCodec;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The rows by which two sheets differ. Both are compared in canonical form, so the order of rows,
 * the spelling of values and the choice of columns make no difference.
 *
 * <p>Immutable and thread-safe.
 *
 * @param removed canonical rows that only the old sheet has
 * @param added canonical rows that only the new sheet has
 */
record SheetDiff(List<String> removed, List<String> added) {
    /** Compares two valid sheets; an empty string is a sheet without rows. */
    static SheetDiff of(String oldCsv, String newCsv) {
        Set<String> oldRows = canonicalRows(oldCsv);
        Set<String> newRows = canonicalRows(newCsv);
        List<String> removed = new ArrayList<>(oldRows);
        removed.removeAll(newRows);
        List<String> added = new ArrayList<>(newRows);
        added.removeAll(oldRows);
        return new SheetDiff(removed, added);
    }

    String format() {
        if (removed.isEmpty() && added.isEmpty()) {
            return "no difference\n";
        }
        StringBuilder text = new StringBuilder();
        removed.forEach(r -> text.append("- ").append(r).append('\n'));
        added.forEach(r -> text.append("+ ").append(r).append('\n'));
        return text.toString();
    }

    private static Set<String> canonicalRows(String csv) {
        if (csv.isEmpty()) {
            return Set.of();
        }
        String canonical = SheetCodec.write(SheetCodec.parse(csv).configuration());
        return new LinkedHashSet<>(canonical.lines().skip(1).toList());
    }
}
