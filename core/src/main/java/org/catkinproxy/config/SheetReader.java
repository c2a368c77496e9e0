package org.catkinproxy.config;

import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvParser;

import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Splits a sheet into rows; the header row determines the order of the columns.
 *
 * <p>Not thread-safe.
 */
final class SheetReader {
    private static final CsvMapper MAPPER =
            CsvMapper.builder().enable(CsvParser.Feature.WRAP_AS_ARRAY).build();

    private final List<SheetError> mErrors;

    SheetReader(List<SheetError> errors) {
        mErrors = errors;
    }

    /** Returns the rows below the header row, or none if the header row has errors. */
    List<SheetRow> readRows(String csv) {
        List<String[]> lines = parseCsv(csv);
        if (lines.isEmpty()) {
            mErrors.add(SheetError.of(1, SheetColumn.KIND, "", "a header row with all columns"));
            return List.of();
        }
        Optional<List<SheetColumn>> header = parseHeader(lines.get(0));
        List<SheetRow> rows = new ArrayList<>();
        for (int i = 1; i < lines.size() && header.isPresent(); i++) {
            if (!isBlank(lines.get(i))) {
                rows.add(createRow(i + 1, header.get(), lines.get(i)));
            }
        }
        return rows;
    }

    private List<String[]> parseCsv(String csv) {
        try (MappingIterator<String[]> lines = MAPPER.readerFor(String[].class).readValues(csv)) {
            return lines.readAll();
        } catch (IOException e) {
            mErrors.add(SheetError.of(1, SheetColumn.KIND, "", "valid CSV: " + e.getMessage()));
            return List.of();
        }
    }

    private Optional<List<SheetColumn>> parseHeader(String[] headings) {
        int errorCountBefore = mErrors.size();
        List<SheetColumn> columns = new ArrayList<>();
        for (String heading : headings) {
            Optional<SheetColumn> column = SheetColumn.fromHeading(heading.trim());
            if (column.isEmpty() || columns.contains(column.get())) {
                mErrors.add(new SheetError(1, heading, heading, "each column name exactly once"));
            } else {
                columns.add(column.get());
            }
        }
        for (SheetColumn column : SheetColumn.values()) {
            if (!columns.contains(column)) {
                mErrors.add(SheetError.of(1, column, "", "this column in the header row"));
            }
        }
        return mErrors.size() == errorCountBefore ? Optional.of(columns) : Optional.empty();
    }

    private SheetRow createRow(int rowNumber, List<SheetColumn> header, String[] cells) {
        Map<SheetColumn, String> cellsByColumn = new EnumMap<>(SheetColumn.class);
        for (int i = 0; i < Math.min(cells.length, header.size()); i++) {
            cellsByColumn.put(header.get(i), cells[i].trim());
        }
        SheetRow row = new SheetRow(rowNumber, cellsByColumn, mErrors);
        if (cells.length > header.size()) {
            row.reportError(SheetColumn.VALUE, "no more cells than the header row has");
        }
        return row;
    }

    private static boolean isBlank(String[] cells) {
        for (String cell : cells) {
            if (!cell.isBlank()) {
                return false;
            }
        }
        return true;
    }
}
