package org.catkinproxy.calls;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.call.CallRecord;
import org.catkinproxy.call.CallResolution;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.CallKey;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;
import org.catkinproxy.platform.ObjectStore;
import org.catkinproxy.platform.TableService;

import io.reactivex.rxjava3.core.Single;

import java.util.Comparator;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Lists, shows and resolves at-most-once calls on behalf of operators.
 *
 * <p>A call that is still in flight cannot be told from one whose entry instance crashed: both are
 * in state {@code claimed}. An operator who resolves a call must therefore make sure that it is no
 * longer in flight. A resolved call is never sent again under its key. All failures are {@link
 * CatkinException}s. Safe for use by any thread.
 */
public final class CallAdmin {
    private final CallTable mTable;
    private final LongSupplier mClockMillis;

    private CallAdmin(CallTable table, LongSupplier clockMillis) {
        mTable = table;
        mClockMillis = clockMillis;
    }

    /** Creates an instance over the given table service and object store. */
    public static CallAdmin create(TableService tables, ObjectStore objects) {
        checkNotNull(tables, "tables");
        checkNotNull(objects, "objects");
        return new CallAdmin(new CallTable(tables, objects), System::currentTimeMillis);
    }

    /**
     * Lists up to {@code limit} calls whose outcome is unknown, oldest first. Scans the whole
     * table.
     */
    public Single<List<CallEntry>> listOpen(int limit) {
        return mTable.scanOpen()
                .sorted(Comparator.comparingLong(c -> c.record().createdMillis()))
                .take(limit)
                .toList();
    }

    /** Returns one call. Fails with code {@code NOT_FOUND} if its key was never claimed. */
    public Single<CallEntry> get(CallKey key) {
        return mTable.read(key)
                .map(stored -> new CallEntry(key, stored.version(), stored.record()))
                .switchIfEmpty(
                        Single.error(
                                () -> error(ErrorCode.NOT_FOUND, "no call has the key " + key)));
    }

    /**
     * Resolves a call whose outcome is unknown. Writes the operator's statement to the call's row
     * and, in the same transaction, to the table {@code audit}.
     *
     * <p>Fails with code {@code STORE_CONFLICT} if the call is no longer open, and with outcome
     * {@code UNKNOWN} if the store did not respond. Retrying is safe in the latter case.
     *
     * @param key the key of the call
     * @param ran whether the call ran
     * @param note the operator's evidence, in free text
     * @param operator the name of the operator
     */
    public Single<CallEntry> resolve(CallKey key, boolean ran, String note, String operator) {
        CallResolution resolution =
                new CallResolution(ran, note, operator, mClockMillis.getAsLong());
        return get(key).flatMap(
                        entry -> {
                            if (!entry.isOpen()) {
                                return Single.error(notOpenError(entry));
                            }
                            CallRecord record = entry.record().resolved(resolution);
                            return mTable.writeAudited(key, entry.version(), record)
                                    .onErrorResumeNext(
                                            e -> confirmWritten(key, record, e).ignoreElement())
                                    .andThen(get(key));
                        })
                .doOnSuccess(
                        resolved -> EventLog.log(LogEvent.CALL_RESOLVED, key, operator, ran, note));
    }

    /** Reads the row back after a failed write, because the write may have taken effect. */
    private Single<CallEntry> confirmWritten(CallKey key, CallRecord expected, Throwable failure) {
        return get(key).filter(stored -> stored.record().equals(expected))
                .switchIfEmpty(Single.error(failure));
    }

    private static CatkinException notOpenError(CallEntry entry) {
        String state = entry.record().state().wireName();
        return error(ErrorCode.STORE_CONFLICT, "the call is not open but " + state);
    }

    private static CatkinException error(ErrorCode code, String message) {
        return CatkinException.of(
                code, Step.RECORD, CatkinException.NO_PEER, Outcome.NOT_RUN, message, null);
    }
}
