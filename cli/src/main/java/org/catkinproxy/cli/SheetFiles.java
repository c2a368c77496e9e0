package org.catkinproxy.cli;

import org.catkinproxy.admin.SheetErrors;
import org.catkinproxy.config.SheetCodec;
import org.catkinproxy.config.SheetError;
import org.catkinproxy.config.SheetParseResult;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Reads local files and validates sheets. Stateless and thread-safe. */
final class SheetFiles {
    private SheetFiles() {}

    static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new CliException(
                    ExitCode.USAGE, "can not read " + file + ": " + e.getClass().getSimpleName());
        }
    }

    /**
     * Validates a sheet and prints its errors.
     *
     * @throws CliException if the sheet has errors
     */
    static void check(CommandContext context, Path file, String csv) {
        SheetParseResult result = SheetCodec.parse(csv);
        if (result.isValid()) {
            return;
        }
        TextTable table = TextTable.of("ROW", "COLUMN", "FOUND", "WANTS");
        for (SheetError e : result.errors()) {
            table.addRow(e.row(), e.column(), "'" + e.found() + "'", e.wants());
        }
        context.print(new SheetErrors(result.errors()), table);
        throw new CliException(
                ExitCode.REFUSED,
                file + " has " + result.errors().size() + " errors. Nothing was changed.");
    }
}
