package org.catkinproxy.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Parses and writes sheets, the CSV files in which planners specify a configuration.
 *
 * <p>The header row has the columns {@code
 * kind,workspace,model,adapter,version,pool,instance,service,match,value}, in any order. A sheet
 * with an error is rejected as a whole. Stateless and thread-safe.
 */
public final class SheetCodec {
    private SheetCodec() {}

    /** Parses a sheet; the result contains the configuration, or all errors of the sheet. */
    public static SheetParseResult parse(String csv) {
        List<SheetError> errors = new ArrayList<>();
        ConfigurationBuilder builder = new ConfigurationBuilder();
        new SheetReader(errors).readRows(csv).forEach(builder::addRow);
        Configuration configuration = builder.build();
        errors.sort(Comparator.comparingInt(SheetError::row));
        return SheetParseResult.of(configuration, errors);
    }

    /**
     * Returns a configuration as a sheet, which {@link #parse} parses to an equal configuration
     * except for the revision.
     */
    public static String write(Configuration configuration) {
        return new SheetWriter().write(configuration);
    }
}
