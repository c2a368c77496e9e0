package org.catkinproxy.config;

import java.util.Locale;
import java.util.Optional;

/** The columns of a sheet, in the order in which they are written. Immutable. */
enum SheetColumn {
    KIND,
    WORKSPACE,
    MODEL,
    ADAPTER,
    VERSION,
    POOL,
    INSTANCE,
    SERVICE,
    MATCH,
    VALUE;

    /** Returns the name of the column in the header row. */
    String heading() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the column with the given heading, if any. */
    static Optional<SheetColumn> fromHeading(String heading) {
        for (SheetColumn column : values()) {
            if (column.heading().equals(heading)) {
                return Optional.of(column);
            }
        }
        return Optional.empty();
    }
}
