package org.catkinproxy.config;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An error in a cell of a sheet.
 *
 * <p>Immutable and thread-safe.
 *
 * @param row the number of the row, 1 for the header row
 * @param column the name of the column
 * @param found the content of the cell
 * @param wants a description of the expected content
 */
public record SheetError(int row, String column, String found, String wants) {
    /** Checks that no component is null. */
    public SheetError {
        checkNotNull(column, "column");
        checkNotNull(found, "found");
        checkNotNull(wants, "wants");
    }

    static SheetError of(int row, SheetColumn column, String found, String wants) {
        return new SheetError(row, column.heading(), found, wants);
    }

    @Override
    public String toString() {
        return "row " + row + ", " + column + ": found '" + found + "', wants " + wants;
    }
}
