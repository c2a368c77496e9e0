package org.catkinproxy.revision;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.base.Joiner;
import com.google.common.base.Splitter;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The line-based difference between two sheets.
 *
 * <p>As in a patience diff, lines that occur exactly once in each sheet and in the same order are
 * kept, and the lines between them are replaced. Invariant: the delta applied to the old sheet
 * yields exactly the new sheet. Immutable and thread-safe.
 *
 * @param hunks the replacements, in the order of their positions
 */
public record SheetDelta(List<Hunk> hunks) {
    private static final Splitter LINE_SPLITTER = Splitter.on('\n');
    private static final Joiner LINE_JOINER = Joiner.on('\n');

    /** Copies the list. */
    public SheetDelta {
        hunks = List.copyOf(hunks);
    }

    /**
     * A replacement of consecutive lines of the old sheet.
     *
     * @param startIndex the zero-based index of the first removed line
     * @param removedCount the number of removed lines
     * @param insertedLines the lines that replace the removed ones
     */
    public record Hunk(int startIndex, int removedCount, List<String> insertedLines) {
        /** Copies the lines. */
        public Hunk {
            insertedLines = List.copyOf(insertedLines);
        }
    }

    /** Returns the delta that turns {@code oldSheet} into {@code newSheet}. */
    public static SheetDelta between(String oldSheet, String newSheet) {
        List<String> oldLines = LINE_SPLITTER.splitToList(oldSheet);
        List<String> newLines = LINE_SPLITTER.splitToList(newSheet);
        List<Hunk> hunks = new ArrayList<>();
        int oldStart = 0;
        int newStart = 0;
        for (int[] kept : CommonLines.find(oldLines, newLines)) {
            addHunk(hunks, oldLines, oldStart, kept[0], newLines, newStart, kept[1]);
            oldStart = kept[0] + 1;
            newStart = kept[1] + 1;
        }
        addHunk(hunks, oldLines, oldStart, oldLines.size(), newLines, newStart, newLines.size());
        return new SheetDelta(hunks);
    }

    /**
     * Applies the delta to the old sheet and returns the new one.
     *
     * @throws IllegalArgumentException if a hunk is out of the range of {@code oldSheet}
     */
    public String applyTo(String oldSheet) {
        List<String> oldLines = LINE_SPLITTER.splitToList(oldSheet);
        List<String> newLines = new ArrayList<>();
        int next = 0;
        for (Hunk hunk : hunks) {
            int end = hunk.startIndex() + hunk.removedCount();
            checkArgument(
                    hunk.startIndex() >= next && hunk.removedCount() >= 0 && end <= oldLines.size(),
                    "the hunk from line %s to line %s is out of range",
                    hunk.startIndex(),
                    end);
            newLines.addAll(oldLines.subList(next, hunk.startIndex()));
            newLines.addAll(hunk.insertedLines());
            next = end;
        }
        newLines.addAll(oldLines.subList(next, oldLines.size()));
        return LINE_JOINER.join(newLines);
    }

    /** Adds the hunk between two kept lines, trimmed of equal lines at its start and end. */
    private static void addHunk(
            List<Hunk> hunks,
            List<String> oldLines,
            int oldStart,
            int oldEnd,
            List<String> newLines,
            int newStart,
            int newEnd) {
        int equalAtStart = 0;
        int shorterLength = Math.min(oldEnd - oldStart, newEnd - newStart);
        while (equalAtStart < shorterLength
                && oldLines.get(oldStart + equalAtStart)
                        .equals(newLines.get(newStart + equalAtStart))) {
            equalAtStart++;
        }
        int equalAtEnd = 0;
        while (equalAtEnd < shorterLength - equalAtStart
                && oldLines.get(oldEnd - 1 - equalAtEnd)
                        .equals(newLines.get(newEnd - 1 - equalAtEnd))) {
            equalAtEnd++;
        }
        int start = oldStart + equalAtStart;
        int removed = oldEnd - equalAtEnd - start;
        List<String> inserted = newLines.subList(newStart + equalAtStart, newEnd - equalAtEnd);
        if (removed > 0 || !inserted.isEmpty()) {
            hunks.add(new Hunk(start, removed, inserted));
        }
    }

    /** Finds lines that occur exactly once in each of two lists and in the same order. */
    private static final class CommonLines {
        private CommonLines() {}

        /** Returns the largest set of index pairs of such lines, increasing in both indices. */
        static List<int[]> find(List<String> oldLines, List<String> newLines) {
            Map<String, Integer> oldIndices = uniqueLineIndices(oldLines);
            Map<String, Integer> newIndices = uniqueLineIndices(newLines);
            List<int[]> pairs = new ArrayList<>();
            for (int i = 0; i < oldLines.size(); i++) {
                Integer newIndex = newIndices.get(oldLines.get(i));
                if (newIndex != null && newIndex >= 0 && oldIndices.get(oldLines.get(i)) >= 0) {
                    pairs.add(new int[] {i, newIndex});
                }
            }
            return longestIncreasingSubsequence(pairs);
        }

        /** Maps each line that occurs exactly once to its index, and all other lines to -1. */
        private static Map<String, Integer> uniqueLineIndices(List<String> lines) {
            Map<String, Integer> indices = new HashMap<>();
            for (int i = 0; i < lines.size(); i++) {
                indices.merge(lines.get(i), i, (a, b) -> -1);
            }
            return indices;
        }

        /** Returns the longest subsequence of pairs whose second indices increase. */
        private static List<int[]> longestIncreasingSubsequence(List<int[]> pairs) {
            List<Integer> tails = new ArrayList<>();
            int[] previous = new int[pairs.size()];
            for (int i = 0; i < pairs.size(); i++) {
                int length = longestLengthBelow(pairs, tails, pairs.get(i)[1]);
                previous[i] = length == 0 ? -1 : tails.get(length - 1);
                if (length == tails.size()) {
                    tails.add(i);
                } else {
                    tails.set(length, i);
                }
            }
            int[][] chosen = new int[tails.size()][];
            int at = tails.isEmpty() ? -1 : tails.get(tails.size() - 1);
            for (int i = chosen.length - 1; i >= 0; i--) {
                chosen[i] = pairs.get(at);
                at = previous[at];
            }
            return List.of(chosen);
        }

        /**
         * Returns the length of the longest subsequence that ends with a second index below a
         * value.
         */
        private static int longestLengthBelow(List<int[]> pairs, List<Integer> tails, int value) {
            int low = 0;
            int high = tails.size();
            while (low < high) {
                int middle = (low + high) / 2;
                if (pairs.get(tails.get(middle))[1] < value) {
                    low = middle + 1;
                } else {
                    high = middle;
                }
            }
            return low;
        }
    }
}
