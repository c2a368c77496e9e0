package org.catkinproxy.calls;

import org.catkinproxy.call.CallRecord;
import org.catkinproxy.call.StoredCall;
import org.catkinproxy.id.CallKey;
import org.catkinproxy.id.IdempotencyKey;
import org.catkinproxy.id.WorkspaceId;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;
import org.catkinproxy.platform.ObjectStore;
import org.catkinproxy.platform.RowWrite;
import org.catkinproxy.platform.TableRow;
import org.catkinproxy.platform.TableService;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Reads and writes call records in the table {@code calls}.
 *
 * <p>A response body that is too large for a row is written to the object store before the row, so
 * that a row never refers to a missing object. Immutable; safe for use by any thread.
 */
final class CallTable {
    private static final String TABLE = "calls";
    private static final String AUDIT_TABLE = "audit";
    private static final char SEPARATOR = '~';
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int PAGE_ROWS = 200;

    private final TableService mTables;
    private final ObjectStore mObjects;

    CallTable(TableService tables, ObjectStore objects) {
        mTables = tables;
        mObjects = objects;
    }

    /** Reads a call, or completes empty if its key was never claimed. */
    Maybe<StoredCall> read(CallKey key) {
        return mTables.get(TABLE, rowKey(key))
                .flatMap(row -> load(row).toMaybe())
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /**
     * Writes a call's row if it is at version {@code expectedVersion}, and returns the new version.
     */
    Single<Long> write(CallKey key, long expectedVersion, CallRecord record) {
        RowWrite write =
                new RowWrite(TABLE, rowKey(key), expectedVersion, CallCodec.encode(record));
        return storeBody(record)
                .andThen(Single.defer(() -> mTables.transact(List.of(write))))
                .map(versions -> versions.get(0))
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Writes an operator's resolution to the call's row and to the audit table, atomically. */
    Completable writeAudited(CallKey key, long expectedVersion, CallRecord record) {
        String row = CallCodec.encode(record);
        long atMillis = record.resolution().orElseThrow().resolvedMillis();
        String auditKey = "calls" + SEPARATOR + atMillis + SEPARATOR + rowKey(key);
        List<RowWrite> writes = new ArrayList<>();
        writes.add(new RowWrite(TABLE, rowKey(key), expectedVersion, row));
        writes.add(RowWrite.insert(AUDIT_TABLE, auditKey, row));
        return mTables.transact(writes)
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .ignoreElement();
    }

    /** Returns all calls whose outcome is unknown, in the order of their row keys. */
    Flowable<CallEntry> scanOpen() {
        return scanAfter("").concatMapIterable(page -> page).filter(CallEntry::isOpen);
    }

    private Flowable<List<CallEntry>> scanAfter(String afterRowKey) {
        return mTables.scan(TABLE, "", afterRowKey, PAGE_ROWS)
                .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .flatMapPublisher(
                        rows -> {
                            Flowable<List<CallEntry>> page = Flowable.just(parseRows(rows));
                            return rows.size() < PAGE_ROWS
                                    ? page
                                    : page.concatWith(
                                            Flowable.defer(() -> scanAfter(lastKey(rows))));
                        });
    }

    private Completable storeBody(CallRecord record) {
        if (!CallCodec.needsBodyObject(record)) {
            return Completable.complete();
        }
        byte[] body = record.response().orElseThrow().body();
        return mObjects.put(CallCodec.bodyObjectName(body), body);
    }

    private Single<StoredCall> load(TableRow row) {
        return CallCodec.referencedObject(row.value())
                .map(name -> readBody(name).map(body -> toStoredCall(row, body)))
                .orElseGet(() -> Single.just(toStoredCall(row, new byte[0])));
    }

    /**
     * Reads a response body from the object store. Fails if the object is missing or its digest
     * does not match its name, which callers handle like a store outage.
     */
    private Single<byte[]> readBody(String name) {
        return mObjects.get(name)
                .filter(body -> CallCodec.bodyObjectName(body).equals(name))
                .toSingle();
    }

    private static StoredCall toStoredCall(TableRow row, byte[] body) {
        return new StoredCall(row.version(), CallCodec.decode(row.value(), body));
    }

    private static List<CallEntry> parseRows(List<TableRow> rows) {
        return rows.stream().map(CallTable::parseRow).flatMap(Optional::stream).toList();
    }

    private static Optional<CallEntry> parseRow(TableRow row) {
        try {
            StoredCall stored = toStoredCall(row, new byte[0]);
            return Optional.of(
                    new CallEntry(parseRowKey(row.key()), stored.version(), stored.record()));
        } catch (RuntimeException e) {
            EventLog.log(LogEvent.CALL_ROW_MALFORMED, row.key(), e);
            return Optional.empty();
        }
    }

    private static String lastKey(List<TableRow> rows) {
        return rows.get(rows.size() - 1).key();
    }

    private static String rowKey(CallKey key) {
        return key.workspace().value() + SEPARATOR + key.key().value();
    }

    private static CallKey parseRowKey(String rowKey) {
        int end = rowKey.indexOf(SEPARATOR);
        return CallKey.of(
                WorkspaceId.of(rowKey.substring(0, end)),
                IdempotencyKey.of(rowKey.substring(end + 1)));
    }
}
