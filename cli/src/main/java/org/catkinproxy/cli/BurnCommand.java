package org.catkinproxy.cli;

import org.catkinproxy.admin.BurnMessage;
import org.catkinproxy.burn.BurnReport;
import org.catkinproxy.burn.ObjectiveBurnRate;
import org.kohsuke.args4j.Option;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reports burn rates over the requests of all daemons. Single use; not thread-safe. */
final class BurnCommand extends Command {
    @Option(name = "--html", metaVar = "FILE", usage = "also write an HTML page with charts")
    private Path mHtmlFile;

    @Override
    void run(CommandContext context) {
        CollectedBurnMessages collected = CollectedBurnMessages.collect(context.client());
        BurnReport report =
                BurnReport.of(collected.messages().stream().map(BurnMessage::toSnapshot).toList());
        context.print(
                new MergedReport(collected.instances(), collected.missing(), toRows(report)),
                toTable(report));
        if (mHtmlFile != null) {
            writeHtml(BurnHtmlReport.of(report, collected).toHtml());
            context.printProgress("wrote " + mHtmlFile);
        }
        context.printProgress("merged over " + String.join(", ", collected.instances()));
        if (!collected.missing().isEmpty()) {
            throw new CliException(
                    ExitCode.UNREACHABLE,
                    "the report has no figures from "
                            + String.join(", ", collected.missing())
                            + ": no valid response or no known operator address.");
        }
    }

    private void writeHtml(String html) {
        try {
            Files.writeString(mHtmlFile, html);
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, "can not write " + mHtmlFile);
        }
    }

    private static TextTable toTable(BurnReport report) {
        TextTable table =
                TextTable.of(
                        "WORKSPACE",
                        "OBJECTIVE",
                        "TARGET",
                        "BURN SHORT",
                        "BURN LONG",
                        "BUDGET LEFT",
                        "BAD/TOTAL",
                        "WORST ENGINE");
        for (ObjectiveBurnRate b : report.rows()) {
            table.addRow(
                    b.workspace(),
                    b.objective().wireName(),
                    ListCommands.formatPercent(b.target()),
                    String.format("%.2f", b.shortWindowBurnRate()),
                    String.format("%.2f", b.longWindowBurnRate()),
                    String.format("%.1f%%", b.remainingErrorBudget() * 100),
                    b.badCount() + "/" + b.totalCount(),
                    b.badCount() == 0
                            ? "-"
                            : b.worstEngine()
                                    + String.format(" (%.0f%%)", b.worstEngineShare() * 100));
        }
        return table;
    }

    private static List<ReportRow> toRows(BurnReport report) {
        return report.rows().stream().map(ReportRow::of).toList();
    }

    /** The report as printed with {@code --json}. */
    private record MergedReport(
            List<String> instances, List<String> missing, List<ReportRow> rows) {}

    /** A row of the report as printed with {@code --json}. */
    private record ReportRow(
            String workspace,
            String objective,
            double target,
            double shortBurn,
            double longBurn,
            double budgetLeft,
            long total,
            long bad,
            String worstEngine,
            double worstEngineShare,
            double shareOfAllBad) {
        static ReportRow of(ObjectiveBurnRate b) {
            return new ReportRow(
                    b.workspace().value(),
                    b.objective().wireName(),
                    b.target(),
                    b.shortWindowBurnRate(),
                    b.longWindowBurnRate(),
                    b.remainingErrorBudget(),
                    b.totalCount(),
                    b.badCount(),
                    b.worstEngine(),
                    b.worstEngineShare(),
                    b.shareOfAllBad());
        }
    }
}
