package org.catkinproxy.config;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One fault of a sheet, with the place where it stands.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param row the line of the sheet, 1 for the header
 * @param column the name of the column
 * @param found what stands there
 * @param wants what should stand there
 */
public record SheetError(int row, String column, String found, String wants) {
    /** Checks that all parts are there. */
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
