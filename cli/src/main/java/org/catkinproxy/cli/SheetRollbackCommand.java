package org.catkinproxy.cli;

import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Applies an earlier sheet as a new revision. Single use; not thread-safe. */
final class SheetRollbackCommand extends Command {
    @Argument(metaVar = "REVISION", required = true, usage = "the revision to go back to")
    private long mRevision;

    @Option(name = "--wait", usage = "wait until the new revision is in force at every instance")
    private boolean mWait;

    @Override
    void run(CommandContext context) {
        OperatorClient client = context.client();
        String csv = client.getSheet("/operator/sheet/" + mRevision).csv();
        long expectedRevision = SheetDiffCommand.activeSheet(client).revision();
        SheetApplyCommand.apply(context, client, csv, expectedRevision, mWait);
    }
}
