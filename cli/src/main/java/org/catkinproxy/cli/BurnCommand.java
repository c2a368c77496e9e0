package org.catkinproxy.cli;

import org.catkinproxy.admin.BurnMessage;
import org.catkinproxy.burn.BurnReport;
import org.catkinproxy.burn.WorkspaceBurn;
import org.kohsuke.args4j.Option;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** Reports on service levels over all daemons. Used for one run by one thread. */
final class BurnCommand extends Command {
    @Option(name = "--html", metaVar = "FILE", usage = "write a page with plots too")
    private Path mHtml;

    @Override
    void run(Session session) {
        BurnGathering gathering = BurnGathering.from(session.client());
        BurnReport report =
                BurnReport.of(gathering.messages().stream().map(BurnMessage::snapshot).toList());
        session.print(
                new Merged(gathering.instances(), gathering.missing(), rows(report)),
                table(report));
        if (mHtml != null) {
            write(BurnPage.of(report, gathering).html());
            session.progress("wrote " + mHtml);
        }
        session.progress("merged over " + String.join(", ", gathering.instances()));
        if (!gathering.missing().isEmpty()) {
            throw new CliException(
                    ExitCode.UNREACHABLE,
                    "the report lacks "
                            + String.join(", ", gathering.missing())
                            + ", which did not answer.");
        }
    }

    private void write(String page) {
        try {
            Files.writeString(mHtml, page);
        } catch (IOException e) {
            throw new CliException(ExitCode.USAGE, "can not write " + mHtml);
        }
    }

    private static TextTable table(BurnReport report) {
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
        for (WorkspaceBurn b : report.rows()) {
            table.add(
                    b.workspace(),
                    b.objective().wire(),
                    Listings.percent(b.target()),
                    String.format("%.2f", b.shortBurn()),
                    String.format("%.2f", b.longBurn()),
                    String.format("%.1f%%", b.budgetLeft() * 100),
                    b.bad() + "/" + b.total(),
                    b.bad() == 0
                            ? "-"
                            : b.worstEngine()
                                    + String.format(" (%.0f%%)", b.worstEngineShare() * 100));
        }
        return table;
    }

    private static List<Row> rows(BurnReport report) {
        return report.rows().stream().map(Row::of).toList();
    }

    /** The report for programs. */
    private record Merged(List<String> instances, List<String> missing, List<Row> rows) {}

    /** A row of the report for programs. */
    private record Row(
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
        static Row of(WorkspaceBurn b) {
            return new Row(
                    b.workspace().value(),
                    b.objective().wire(),
                    b.target(),
                    b.shortBurn(),
                    b.longBurn(),
                    b.budgetLeft(),
                    b.total(),
                    b.bad(),
                    b.worstEngine(),
                    b.worstEngineShare(),
                    b.shareOfAllBad());
        }
    }
}
