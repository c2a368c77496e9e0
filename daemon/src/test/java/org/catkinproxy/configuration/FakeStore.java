package org.catkinproxy.configuration;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.platform.ObjectStore;
import org.catkinproxy.platform.RowWrite;
import org.catkinproxy.platform.TableRow;
import org.catkinproxy.platform.TableService;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;

import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * A table and object store in memory that can be down, and can lose or refuse writes.
 *
 * <p>Safe for use by any thread.
 */
public final class FakeStore implements TableService, ObjectStore {
    /** What happens to one write. */
    public enum WriteFault {
        NONE,
        ANSWER_LOST,
        REQUEST_LOST,
        NO_CONNECTION
    }

    private final NavigableMap<String, TableRow> mRows = new ConcurrentSkipListMap<>();
    private final Map<String, byte[]> mObjects = new ConcurrentHashMap<>();
    private final Deque<WriteFault> mWriteFaults = new ConcurrentLinkedDeque<>();
    private Runnable mBeforeWrite = () -> {};
    private volatile boolean mDown;

    public void setDown(boolean down) {
        mDown = down;
    }

    public void failWrites(WriteFault... faults) {
        mWriteFaults.addAll(List.of(faults));
    }

    /** Runs something once, just before the next write. */
    public void beforeNextWrite(Runnable action) {
        mBeforeWrite = action;
    }

    /** Puts back rows as they were, as a replica that lags would show them. */
    public Runnable restorePoint() {
        Map<String, TableRow> rows = new HashMap<>(mRows);
        return () -> {
            mRows.clear();
            mRows.putAll(rows);
        };
    }

    @Override
    public Maybe<TableRow> get(String table, String key) {
        return Maybe.defer(
                () -> {
                    TableRow row = mRows.get(table + "/" + key);
                    return mDown
                            ? Maybe.error(down())
                            : row == null ? Maybe.empty() : Maybe.just(row);
                });
    }

    @Override
    public Maybe<byte[]> get(String name) {
        return Maybe.defer(
                () -> {
                    byte[] content = mObjects.get(name);
                    return mDown
                            ? Maybe.error(down())
                            : content == null ? Maybe.empty() : Maybe.just(content);
                });
    }

    @Override
    public Single<List<TableRow>> scan(String table, String prefix, String afterKey, int limit) {
        String start = table + "/" + prefix;
        return Single.fromCallable(
                () ->
                        mRows.tailMap(start).entrySet().stream()
                                .filter(e -> e.getKey().startsWith(start))
                                .map(Map.Entry::getValue)
                                .filter(r -> r.key().compareTo(afterKey) > 0)
                                .limit(limit)
                                .toList());
    }

    @Override
    public Single<List<Long>> transact(List<RowWrite> writes) {
        return Single.defer(
                () -> {
                    Runnable before = mBeforeWrite;
                    mBeforeWrite = () -> {};
                    before.run();
                    WriteFault fault =
                            mWriteFaults.isEmpty() ? WriteFault.NONE : mWriteFaults.poll();
                    return mDown ? Single.error(down()) : transact(writes, fault);
                });
    }

    private synchronized Single<List<Long>> transact(List<RowWrite> writes, WriteFault fault) {
        if (fault == WriteFault.NO_CONNECTION) {
            return Single.error(error(ErrorCode.STORE_UNAVAILABLE, Outcome.NOT_RUN));
        }
        if (fault == WriteFault.REQUEST_LOST) {
            return Single.error(down());
        }
        for (RowWrite write : writes) {
            TableRow row = mRows.get(write.table() + "/" + write.key());
            if (write.expectedVersion() != (row == null ? RowWrite.ABSENT : row.version())) {
                return Single.error(error(ErrorCode.STORE_CONFLICT, Outcome.NOT_RUN));
            }
        }
        List<Long> versions = new ArrayList<>();
        for (RowWrite write : writes) {
            long version = write.expectedVersion() + 1;
            mRows.put(
                    write.table() + "/" + write.key(),
                    new TableRow(write.key(), version, write.value()));
            versions.add(version);
        }
        return fault == WriteFault.ANSWER_LOST ? Single.error(down()) : Single.just(versions);
    }

    @Override
    public Completable put(String name, byte[] content) {
        return Completable.defer(
                () -> {
                    if (mDown) {
                        return Completable.error(down());
                    }
                    mObjects.put(name, content);
                    return Completable.complete();
                });
    }

    private static CatkinException down() {
        return error(ErrorCode.STORE_UNAVAILABLE, Outcome.UNKNOWN);
    }

    private static CatkinException error(ErrorCode code, Outcome outcome) {
        return CatkinException.of(code, Step.STORE, "store", outcome, "made to fail", null);
    }
}
