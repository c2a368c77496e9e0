package org.catkinproxy.config;

import static org.catkinproxy.config.SheetColumn.ADAPTER;
import static org.catkinproxy.config.SheetColumn.INSTANCE;
import static org.catkinproxy.config.SheetColumn.KIND;
import static org.catkinproxy.config.SheetColumn.MATCH;
import static org.catkinproxy.config.SheetColumn.MODEL;
import static org.catkinproxy.config.SheetColumn.POOL;
import static org.catkinproxy.config.SheetColumn.SERVICE;
import static org.catkinproxy.config.SheetColumn.VALUE;
import static org.catkinproxy.config.SheetColumn.VERSION;
import static org.catkinproxy.config.SheetColumn.WORKSPACE;

import com.google.common.collect.Sets;

import java.util.Arrays;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** The kind of a sheet row, which determines the columns that the row may use. Immutable. */
enum SheetRowKind {
    WORKSPACE_ROW("workspace", WORKSPACE, VALUE),
    KEY_ROW("key", WORKSPACE, VALUE),
    MODEL_ROW("model", WORKSPACE, MODEL, ADAPTER, VERSION, POOL),
    POOL_ROW("pool", POOL, VALUE),
    INSTANCE_ROW("instance", INSTANCE, POOL, VALUE),
    SERVICE_ROW("service", WORKSPACE, SERVICE, POOL),
    REQUEST_ROW("request", WORKSPACE, MODEL, SERVICE, MATCH, VALUE);

    private final String mWireName;
    private final Set<SheetColumn> mColumns;

    SheetRowKind(String wireName, SheetColumn... columns) {
        mWireName = wireName;
        mColumns = Sets.immutableEnumSet(KIND, columns);
    }

    /** Returns the value of the kind column. */
    String wireName() {
        return mWireName;
    }

    /** Returns whether rows of this kind may have a value in the column. */
    boolean uses(SheetColumn column) {
        return mColumns.contains(column);
    }

    /** Returns the kind with the given value of the kind column, if any. */
    static Optional<SheetRowKind> fromWireName(String wireName) {
        return Arrays.stream(values()).filter(k -> k.mWireName.equals(wireName)).findFirst();
    }

    /** Returns all values of the kind column, separated by commas. */
    static String allWireNames() {
        return Arrays.stream(values())
                .map(SheetRowKind::wireName)
                .collect(Collectors.joining(", "));
    }
}
