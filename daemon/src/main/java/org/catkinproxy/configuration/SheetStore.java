package org.catkinproxy.configuration;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.Revision;
import org.catkinproxy.platform.ObjectStore;
import org.catkinproxy.platform.RowWrite;
import org.catkinproxy.platform.TableRow;
import org.catkinproxy.platform.TableService;
import org.catkinproxy.revision.AcceptedSheet;
import org.catkinproxy.revision.RevisionMetadata;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * Accepted sheets in the platform's store: one object a sheet, one row a revision and the head row.
 *
 * <p>Head row and revision row are written in one transaction, so a revision is in the history if
 * and only if it was the head. Safe for use by any thread.
 */
final class SheetStore {
    private final TableService mTable;
    private final ObjectStore mObjects;

    SheetStore(TableService table, ObjectStore objects) {
        mTable = checkNotNull(table, "table");
        mObjects = checkNotNull(objects, "objects");
    }

    Single<Optional<TableRow>> headRow() {
        return mTable.get(HeadRow.TABLE, HeadRow.HEAD_KEY)
                .map(Optional::of)
                .defaultIfEmpty(Optional.empty());
    }

    Single<Optional<RevisionMetadata>> head() {
        return headRow().map(row -> row.map(r -> HeadRow.read(r.value())));
    }

    Maybe<RevisionMetadata> accepted(Revision revision) {
        return mTable.get(HeadRow.TABLE, HeadRow.historyKey(revision))
                .map(row -> HeadRow.read(row.value()));
    }

    /** Returns the newest revisions, the newest first. */
    Single<List<RevisionMetadata>> history(int limit) {
        return mTable.scan(HeadRow.TABLE, HeadRow.HISTORY_PREFIX, "", limit)
                .map(rows -> rows.stream().map(r -> HeadRow.read(r.value())).toList());
    }

    Completable putContent(AcceptedSheet sheet) {
        byte[] content = sheet.csv().getBytes(StandardCharsets.UTF_8);
        return mObjects.put(HeadRow.objectName(sheet.metadata().change()), content);
    }

    Maybe<AcceptedSheet> content(RevisionMetadata head) {
        return mObjects.get(HeadRow.objectName(head.change()))
                .map(bytes -> new AcceptedSheet(head, new String(bytes, StandardCharsets.UTF_8)));
    }

    /** Makes a sheet the head, if the head row still is as it was read. */
    Completable writeHead(Optional<TableRow> read, RevisionMetadata head) {
        String value = HeadRow.write(head);
        RowWrite headWrite =
                read.map(row -> RowWrite.update(HeadRow.TABLE, row, value))
                        .orElse(RowWrite.insert(HeadRow.TABLE, HeadRow.HEAD_KEY, value));
        RowWrite history =
                RowWrite.insert(HeadRow.TABLE, HeadRow.historyKey(head.revision()), value);
        return mTable.transact(List.of(headWrite, history)).ignoreElement();
    }
}
