package org.catkinproxy.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The rows of the table service, with versions that only rise.
 *
 * <p>Safe for use by any thread; a transaction holds the one lock, so it is atomic.
 */
final class Tables {
    private final Map<String, TreeMap<String, Row>> mTables = new TreeMap<>();

    /** A row; the version is 1 or more. */
    record Row(String key, long version, JsonNode value) {}

    /** One conditional write; {@code expect} is 0 for a row that must be absent. */
    record Write(String table, String key, long expect, JsonNode value) {}

    /** What became of a transaction: new versions, or the places of the writes in conflict. */
    record Result(List<Long> versions, List<Integer> conflicts) {
        boolean isWritten() {
            return conflicts.isEmpty();
        }
    }

    synchronized Optional<Row> get(String table, String key) {
        return Optional.ofNullable(rows(table).get(key));
    }

    synchronized List<Row> scan(String table, String prefix, String after, int limit) {
        List<Row> page = new ArrayList<>();
        String from = after.compareTo(prefix) > 0 ? after : prefix;
        for (Row row : rows(table).tailMap(from, true).values()) {
            if (!row.key().startsWith(prefix) || page.size() == limit) {
                break;
            }
            if (!row.key().equals(after)) {
                page.add(row);
            }
        }
        return page;
    }

    synchronized Result transact(List<Write> writes) {
        List<Integer> conflicts = new ArrayList<>();
        for (int i = 0; i < writes.size(); i++) {
            Write write = writes.get(i);
            if (version(write) != write.expect()) {
                conflicts.add(i);
            }
        }
        if (!conflicts.isEmpty()) {
            return new Result(List.of(), conflicts);
        }
        List<Long> versions = new ArrayList<>();
        for (Write write : writes) {
            long version = version(write) + 1;
            rows(write.table()).put(write.key(), new Row(write.key(), version, write.value()));
            versions.add(version);
        }
        return new Result(versions, List.of());
    }

    private long version(Write write) {
        Row row = rows(write.table()).get(write.key());
        return row == null ? 0 : row.version();
    }

    private TreeMap<String, Row> rows(String table) {
        return mTables.computeIfAbsent(table, t -> new TreeMap<>());
    }
}
