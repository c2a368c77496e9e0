package org.catkinproxy.config;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/**
 * A row of a sheet, whose errors are added to the errors of the sheet.
 *
 * <p>Not thread-safe.
 */
final class SheetRow {
    private final int mRowNumber;
    private final Map<SheetColumn, String> mCells;
    private final List<SheetError> mErrors;

    SheetRow(int rowNumber, Map<SheetColumn, String> cells, List<SheetError> errors) {
        mRowNumber = rowNumber;
        mCells = new EnumMap<>(cells);
        mErrors = errors;
    }

    int rowNumber() {
        return mRowNumber;
    }

    /** Returns the content of the cell in the column, or an empty string for none. */
    String text(SheetColumn column) {
        return mCells.getOrDefault(column, "");
    }

    boolean isBlank(SheetColumn column) {
        return text(column).isEmpty();
    }

    /** Reports an error in the cell of a column, with a description of the expected content. */
    void reportError(SheetColumn column, String wants) {
        mErrors.add(SheetError.of(mRowNumber, column, text(column), wants));
    }

    /**
     * Parses the cell of a column and reports an error if it is malformed.
     *
     * @param parser throws {@link IllegalArgumentException} if the content is malformed
     * @param wants the description of the expected content in the error
     * @return the parsed value, or empty if an error was reported
     */
    <T> Optional<T> parse(SheetColumn column, Function<String, T> parser, String wants) {
        try {
            return Optional.of(parser.apply(text(column)));
        } catch (IllegalArgumentException e) {
            reportError(column, wants);
            return Optional.empty();
        }
    }

    /** Reports an error for each column that has a value but is not used by rows of this kind. */
    void reportUnexpectedCells(SheetRowKind kind) {
        for (SheetColumn column : SheetColumn.values()) {
            if (!kind.uses(column) && !isBlank(column)) {
                reportError(column, "an empty cell in a row of kind " + kind.wireName());
            }
        }
    }
}
