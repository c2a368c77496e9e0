package org.catkinproxy.operator;

import org.catkinproxy.admin.AcceptedRevisionView;
import org.catkinproxy.admin.InstanceRevisionView;
import org.catkinproxy.admin.SheetAcceptedResponse;
import org.catkinproxy.admin.SheetErrors;
import org.catkinproxy.config.SheetCodec;
import org.catkinproxy.config.SheetParseResult;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.Revision;

import java.util.List;

/**
 * The requests about sheets, as plain functions.
 *
 * <p>Stateless but for the port, and so safe for use by any thread.
 */
final class SheetHandlers {
    private final SheetAdmin mSheets;

    SheetHandlers(SheetAdmin sheets) {
        mSheets = sheets;
    }

    SheetErrors check(String csv) {
        return new SheetErrors(SheetCodec.parse(csv).errors());
    }

    SheetAcceptedResponse apply(String csv, String expect, String operator) {
        Revision expected = parseRevision("expect", expect);
        SheetParseResult result = SheetCodec.parse(csv);
        // Throws with all errors before anything is stored.
        result.configuration();
        Revision revision = Waiting.await(mSheets.apply(csv, expected, operator));
        return new SheetAcceptedResponse(revision.value());
    }

    SheetAdmin.AcceptedText current() {
        return Waiting.await(mSheets.current().switchIfEmpty(Waiting.missing("accepted sheet")));
    }

    SheetAdmin.AcceptedText sheet(String revision) {
        Revision wanted = parseRevision("revision", revision);
        return Waiting.await(
                mSheets.sheet(wanted).switchIfEmpty(Waiting.missing("revision " + wanted)));
    }

    List<AcceptedRevisionView> history() {
        return Waiting.await(mSheets.history());
    }

    List<InstanceRevisionView> revisions() {
        return mSheets.revisions();
    }

    private static Revision parseRevision(String name, String text) {
        try {
            return Revision.of(Long.parseLong(text));
        } catch (IllegalArgumentException e) {
            throw CatkinException.notRun(
                    ErrorCode.MALFORMED_BODY,
                    Step.PARSE,
                    CatkinException.NO_PEER,
                    name + ": found '" + text + "', wants a revision, 0 or more");
        }
    }
}
