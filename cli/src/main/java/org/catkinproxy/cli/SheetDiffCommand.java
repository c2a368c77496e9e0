package org.catkinproxy.cli;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.kohsuke.args4j.Argument;

import java.nio.file.Path;

/** Compares a sheet with the active sheet. Single use; not thread-safe. */
final class SheetDiffCommand extends Command {
    private static final OperatorClient.SheetText NO_SHEET = new OperatorClient.SheetText(0, "");

    @Argument(metaVar = "FILE", required = true, usage = "the sheet, a CSV file")
    private Path mFile;

    @Override
    void run(CommandContext context) {
        String csv = SheetFiles.read(mFile);
        SheetFiles.check(context, mFile, csv);
        OperatorClient.SheetText active = activeSheet(context.client());
        SheetDiff diff = SheetDiff.of(active.csv(), csv);
        context.printProgress("compared with revision " + active.revision());
        context.print(diff, diff.format());
    }

    /** Returns the active sheet, an empty one with revision 0 if there is none. */
    static OperatorClient.SheetText activeSheet(OperatorClient client) {
        try {
            return client.getSheet("/operator/sheet");
        } catch (CatkinException e) {
            if (e.code() == ErrorCode.NOT_FOUND || e.code() == ErrorCode.NOT_CONFIGURED) {
                return NO_SHEET;
            }
            throw e;
        }
    }
}
