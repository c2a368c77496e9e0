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

/** The kinds of rows, with the columns that each may fill. Immutable. */
enum SheetKind {
    WORKSPACE_ROW("workspace", WORKSPACE, VALUE),
    KEY_ROW("key", WORKSPACE, VALUE),
    MODEL_ROW("model", WORKSPACE, MODEL, ADAPTER, VERSION, POOL),
    POOL_ROW("pool", POOL, VALUE),
    INSTANCE_ROW("instance", INSTANCE, POOL, VALUE),
    SERVICE_ROW("service", WORKSPACE, SERVICE, POOL),
    REQUEST_ROW("request", WORKSPACE, MODEL, SERVICE, MATCH, VALUE);

    private final String mWire;
    private final Set<SheetColumn> mColumns;

    SheetKind(String wire, SheetColumn... columns) {
        mWire = wire;
        mColumns = Sets.immutableEnumSet(KIND, columns);
    }

    /** Returns the word in the kind column. */
    String wire() {
        return mWire;
    }

    /** Tells whether rows of this kind may have something in the column. */
    boolean uses(SheetColumn column) {
        return mColumns.contains(column);
    }

    /** Returns the kind spelt {@code word}, if there is one. */
    static Optional<SheetKind> ofWire(String word) {
        return Arrays.stream(values()).filter(k -> k.mWire.equals(word)).findFirst();
    }

    /** Returns all words that may stand in the kind column. */
    static String allWords() {
        return Arrays.stream(values()).map(SheetKind::wire).collect(Collectors.joining(", "));
    }
}
