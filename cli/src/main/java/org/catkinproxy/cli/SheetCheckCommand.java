package org.catkinproxy.cli;

import org.catkinproxy.admin.SheetErrors;
import org.kohsuke.args4j.Argument;

import java.nio.file.Path;
import java.util.List;

/** Validates a sheet without a daemon. Single use; not thread-safe. */
final class SheetCheckCommand extends Command {
    @Argument(metaVar = "FILE", required = true, usage = "the sheet, a CSV file")
    private Path mFile;

    @Override
    void run(CommandContext context) {
        SheetFiles.check(context, mFile, SheetFiles.read(mFile));
        context.print(new SheetErrors(List.of()), mFile + " has no errors");
    }
}
