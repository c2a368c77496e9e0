package org.catkinproxy.cli;

import org.kohsuke.args4j.Argument;

/** Prints an accepted sheet. Single use; not thread-safe. */
final class SheetShowCommand extends Command {
    @Argument(metaVar = "REVISION", usage = "the revision (default: the one in force)")
    private Long mRevision;

    @Override
    void run(CommandContext context) {
        String path = mRevision == null ? "/operator/sheet" : "/operator/sheet/" + mRevision;
        OperatorClient.SheetText sheet = context.client().getSheet(path);
        context.printProgress("revision " + sheet.revision());
        context.print(sheet, sheet.csv());
    }
}
