package org.catkinproxy.cli;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.kohsuke.args4j.Argument;

import java.nio.file.Path;

/** Compares a sheet with the one in force. Used for one run by one thread. */
final class SheetDiffCommand extends Command {
    private static final OperatorClient.SheetText NONE = new OperatorClient.SheetText(0, "");

    @Argument(metaVar = "FILE", required = true, usage = "the sheet, CSV")
    private Path mFile;

    @Override
    void run(Session session) {
        String csv = SheetFiles.read(mFile);
        SheetFiles.check(session, mFile, csv);
        OperatorClient.SheetText current = current(session.client());
        SheetDiff diff = SheetDiff.of(current.csv(), csv);
        session.progress("against revision " + current.revision());
        session.print(diff, diff.text());
    }

    /** Returns the sheet in force, with revision 0 if there is none. */
    static OperatorClient.SheetText current(OperatorClient client) {
        try {
            return client.sheet("/operator/sheet");
        } catch (CatkinException e) {
            if (e.code() == ErrorCode.NOT_FOUND || e.code() == ErrorCode.NOT_CONFIGURED) {
                return NONE;
            }
            throw e;
        }
    }
}
