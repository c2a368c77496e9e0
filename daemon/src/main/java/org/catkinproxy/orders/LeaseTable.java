package org.catkinproxy.orders;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.id.FencingNumber;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.order.LeaseAction;
import org.catkinproxy.order.LeaseEvent;
import org.catkinproxy.order.LeaseRow;
import org.catkinproxy.order.StoredLease;
import org.catkinproxy.platform.RowWrite;
import org.catkinproxy.platform.TableRow;
import org.catkinproxy.platform.TableService;

import io.reactivex.rxjava3.core.Single;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Runs lease actions against the table {@code leases}. Immutable; safe for use by any thread. */
final class LeaseTable {
    private static final String TABLE = "leases";
    private static final String KEY_PREFIX = "orders-";
    private static final long TIMEOUT_MILLIS = 2_000;

    /** The era of the table service, which never comes back from a copy. */
    private static final long ERA = 0;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final TableService mTables;

    LeaseTable(TableService tables) {
        mTables = tables;
    }

    /** Runs an action; the result never fails. */
    Single<LeaseEvent> run(PoolId pool, LeaseAction action) {
        Single<LeaseEvent> event =
                action instanceof LeaseAction.WriteRow write ? write(pool, write) : read(pool);
        return event.timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .onErrorReturn(LeaseTable::failure);
    }

    private Single<LeaseEvent> read(PoolId pool) {
        return mTables.get(TABLE, KEY_PREFIX + pool.value())
                .map(row -> Optional.of(decode(row)))
                .defaultIfEmpty(Optional.empty())
                .map(row -> new LeaseEvent.RowRead(ERA, row));
    }

    private Single<LeaseEvent> write(PoolId pool, LeaseAction.WriteRow write) {
        String key = KEY_PREFIX + pool.value();
        RowWrite row = new RowWrite(TABLE, key, write.expectedVersion(), encode(write.row()));
        return mTables.transact(List.of(row))
                .map(versions -> new LeaseEvent.RowWritten(ERA, versions.get(0)));
    }

    private static LeaseEvent failure(Throwable failure) {
        boolean conflict =
                failure instanceof CatkinException e && e.code() == ErrorCode.STORE_CONFLICT;
        return conflict ? new LeaseEvent.WriteConflict() : new LeaseEvent.StoreFailed();
    }

    private static String encode(LeaseRow row) {
        return MAPPER.createObjectNode()
                .put("holder", row.holder().value())
                .put("session", row.session())
                .put("fencing", row.fencingNumber().value())
                .put("beat", row.writeNumber())
                .toString();
    }

    private static StoredLease decode(TableRow row) throws JsonProcessingException {
        JsonNode json = MAPPER.readTree(row.value());
        LeaseRow lease =
                new LeaseRow(
                        InstanceId.of(json.path("holder").asText()),
                        json.path("session").asText(),
                        FencingNumber.of(json.path("fencing").asLong()),
                        json.path("beat").asLong());
        return new StoredLease(row.version(), lease);
    }
}
