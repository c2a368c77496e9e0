package org.catkinproxy.cli;

import com.google.common.base.Strings;

import java.util.ArrayList;
import java.util.List;

/**
 * A table of text with headings, whose columns are padded to equal width.
 *
 * <p>Not thread-safe.
 */
final class TextTable {
    private static final String COLUMN_SEPARATOR = "  ";

    private final List<List<String>> mRows = new ArrayList<>();

    private TextTable(List<String> headings) {
        mRows.add(headings);
    }

    static TextTable of(String... headings) {
        return new TextTable(List.of(headings));
    }

    void addRow(Object... cells) {
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell));
        }
        mRows.add(row);
    }

    @Override
    public String toString() {
        int[] widths = new int[mRows.get(0).size()];
        for (List<String> row : mRows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : mRows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                line.append(Strings.padEnd(row.get(i), widths[i], ' ')).append(COLUMN_SEPARATOR);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}
