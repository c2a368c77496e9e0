package org.catkinproxy.cli;

import org.catkinproxy.admin.SheetAcceptedResponse;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

import java.nio.file.Path;

/** Applies a sheet as a new revision. Single use; not thread-safe. */
final class SheetApplyCommand extends Command {
    @Argument(metaVar = "FILE", required = true, usage = "the sheet, a CSV file")
    private Path mFile;

    @Option(
            name = "--expect",
            metaVar = "REVISION",
            usage = "refuse if another revision is in force (default: the one in force now)")
    private Long mExpectedRevision;

    @Option(name = "--wait", usage = "wait until the new revision is in force at every instance")
    private boolean mWait;

    @Override
    void run(CommandContext context) {
        String csv = SheetFiles.read(mFile);
        SheetFiles.check(context, mFile, csv);
        OperatorClient client = context.client();
        long expectedRevision =
                mExpectedRevision == null
                        ? SheetDiffCommand.activeSheet(client).revision()
                        : mExpectedRevision;
        apply(context, client, csv, expectedRevision, mWait);
    }

    /**
     * Applies a sheet as the revision after {@code expectedRevision}; the daemon refuses it if
     * another revision is active. Waits if requested until the new revision is active at all
     * instances.
     */
    static void apply(
            CommandContext context,
            OperatorClient client,
            String csv,
            long expectedRevision,
            boolean wait) {
        SheetAcceptedResponse accepted =
                client.postCsv(
                        "/operator/sheet/apply?expect=" + expectedRevision,
                        csv,
                        SheetAcceptedResponse.class);
        context.print(accepted, "accepted as revision " + accepted.revision());
        if (wait) {
            new RevisionWaiter(context, client, accepted.revision()).await();
        }
    }
}
