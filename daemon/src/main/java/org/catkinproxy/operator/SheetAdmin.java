package org.catkinproxy.operator;

import org.catkinproxy.admin.AcceptedRevisionView;
import org.catkinproxy.admin.InstanceRevisionView;
import org.catkinproxy.id.Revision;

import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;

import java.util.List;

/**
 * Accepts sheets and shows accepted ones.
 *
 * <p>Failures are of type {@link org.catkinproxy.error.CatkinException}. Implementations are safe
 * for use by any thread.
 */
public interface SheetAdmin {
    /**
     * Accepts a sheet as the revision after {@code expected}.
     *
     * <p>Fails with {@code REVISION_CONFLICT} if another revision was accepted first.
     */
    Single<Revision> apply(String csv, Revision expected, String operator);

    /** Returns the sheet in force; empty before the first. */
    Maybe<AcceptedText> current();

    /** Reads an accepted sheet; empty if there is none of this revision. */
    Maybe<AcceptedText> sheet(Revision revision);

    /** Reads the accepted revisions, the newest first. */
    Single<List<AcceptedRevisionView>> history();

    /** Returns the revision in force at every known entry instance. */
    List<InstanceRevisionView> revisions();

    /**
     * An accepted sheet.
     *
     * @param revision its revision
     * @param csv the sheet
     */
    record AcceptedText(Revision revision, String csv) {}
}
