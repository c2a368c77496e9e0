package org.catkinproxy.configuration;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.config.SheetCodec;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.Revision;
import org.catkinproxy.platform.TableRow;
import org.catkinproxy.revision.AcceptedSheet;
import org.catkinproxy.revision.ChangeId;
import org.catkinproxy.revision.RevisionMetadata;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;

import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

/**
 * Has one sheet accepted: content first, then a compare-and-set of the head row.
 *
 * <p>A write whose answer was lost is settled by sending the same conditional write again and, when
 * that conflicts, by reading whose change the revision is. The write expects the version that was
 * read, so of all its copies, however late, at most one takes effect. Safe for use by any thread.
 */
final class Acceptance {
    private static final int SETTLE_TRIES = 20;
    private static final long SETTLE_PAUSE_MILLIS = 250;

    private final SheetStore mStore;
    private final Scheduler mScheduler;

    Acceptance(SheetStore store, Scheduler scheduler) {
        mStore = checkNotNull(store, "store");
        mScheduler = checkNotNull(scheduler, "scheduler");
    }

    /**
     * Accepts a sheet as the revision after {@code expected}.
     *
     * <p>Fails with {@code INVALID_SHEET}, {@code REVISION_CONFLICT} naming the revision that came
     * first, or {@code STORE_UNAVAILABLE}; with outcome {@code UNKNOWN} if the head row could not
     * be read back, in which case the sheet may yet come into force.
     */
    Single<AcceptedSheet> accept(String csv, Revision expected, String operator) {
        return Single.defer(
                () -> {
                    SheetCodec.parse(csv).configuration();
                    AcceptedSheet sheet = sheetOf(csv, expected.next(), operator);
                    return prepare(sheet, expected)
                            .flatMapCompletable(row -> write(row, sheet, SETTLE_TRIES))
                            .toSingleDefault(sheet);
                });
    }

    /** Reads the head row, checks it and writes the content: nothing is accepted by that. */
    private Single<Optional<TableRow>> prepare(AcceptedSheet sheet, Revision expected) {
        return mStore.headRow()
                .flatMap(row -> checkExpected(row, expected).toSingleDefault(row))
                .flatMap(row -> mStore.putContent(sheet).toSingleDefault(row))
                .onErrorResumeNext(e -> Single.error(notAccepted(e)));
    }

    private static Completable checkExpected(Optional<TableRow> row, Revision expected) {
        Optional<RevisionMetadata> head = row.map(r -> HeadRow.read(r.value()));
        Revision current = head.map(RevisionMetadata::revision).orElse(Revision.NONE);
        return current.equals(expected)
                ? Completable.complete()
                : Completable.error(conflict(head, expected));
    }

    private Completable write(Optional<TableRow> row, AcceptedSheet sheet, int triesLeft) {
        return mStore.writeHead(row, sheet.metadata())
                .onErrorResumeNext(e -> settle(e, row, sheet, triesLeft));
    }

    private Completable settle(
            Throwable error, Optional<TableRow> row, AcceptedSheet sheet, int triesLeft) {
        if (isConflict(error)) {
            return judge(sheet)
                    .onErrorResumeNext(
                            e ->
                                    isRevisionConflict(e)
                                            ? Completable.error(e)
                                            : again(e, row, sheet, triesLeft));
        }
        boolean neverSent = triesLeft == SETTLE_TRIES && isNotRun(error);
        return neverSent ? Completable.error(error) : again(error, row, sheet, triesLeft);
    }

    private Completable again(
            Throwable error, Optional<TableRow> row, AcceptedSheet sheet, int triesLeft) {
        if (triesLeft == 0) {
            return Completable.error(unsettled(sheet.metadata(), error));
        }
        return Completable.timer(SETTLE_PAUSE_MILLIS, TimeUnit.MILLISECONDS, mScheduler)
                .andThen(write(row, sheet, triesLeft - 1));
    }

    /** Completes if the own change was accepted, and fails with a conflict if another was. */
    private Completable judge(AcceptedSheet sheet) {
        Revision revision = sheet.revision();
        return mStore.accepted(revision)
                .switchIfEmpty(Single.error(new IllegalStateException("no row of " + revision)))
                .flatMapCompletable(
                        winner ->
                                winner.change().equals(sheet.metadata().change())
                                        ? Completable.complete()
                                        : Completable.error(
                                                conflict(Optional.of(winner), revision)));
    }

    private static boolean isConflict(Throwable error) {
        return error instanceof CatkinException e && e.code() == ErrorCode.STORE_CONFLICT;
    }

    private static boolean isRevisionConflict(Throwable error) {
        return error instanceof CatkinException e && e.code() == ErrorCode.REVISION_CONFLICT;
    }

    private static boolean isNotRun(Throwable error) {
        return error instanceof CatkinException e && e.outcome() == Outcome.NOT_RUN;
    }

    private static CatkinException conflict(Optional<RevisionMetadata> winner, Revision wanted) {
        String message =
                winner.map(
                                h ->
                                        String.format(
                                                "revision %s of operator %s is in force, not %s",
                                                h.revision(), h.operator(), wanted))
                        .orElse("no revision has been accepted yet, not " + wanted);
        return CatkinException.notRun(
                ErrorCode.REVISION_CONFLICT, Step.CONFIGURE, CatkinException.NO_PEER, message);
    }

    private static Throwable notAccepted(Throwable error) {
        if (!(error instanceof CatkinException e) || e.outcome() == Outcome.NOT_RUN) {
            return error;
        }
        return CatkinException.of(
                e.code(), Step.CONFIGURE, e.peer(), Outcome.NOT_RUN, e.getMessage(), e);
    }

    private static CatkinException unsettled(RevisionMetadata head, Throwable cause) {
        String message =
                String.format(
                        "it is not known whether change %s became revision %s",
                        head.change(), head.revision());
        return CatkinException.of(
                ErrorCode.STORE_UNAVAILABLE,
                Step.CONFIGURE,
                "store",
                Outcome.UNKNOWN,
                message,
                cause);
    }

    private static AcceptedSheet sheetOf(String csv, Revision revision, String operator) {
        RevisionMetadata head =
                new RevisionMetadata(
                        revision,
                        ChangeId.of(UUID.randomUUID().toString()),
                        AcceptedSheet.digestOf(csv),
                        operator,
                        System.currentTimeMillis());
        return new AcceptedSheet(head, csv);
    }
}
