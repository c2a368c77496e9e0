package org.catkinproxy.cli;

import com.google.common.html.HtmlEscapers;

import org.catkinproxy.burn.BurnReport;
import org.catkinproxy.burn.ObjectiveBurnRate;

import java.util.List;

/**
 * A burn report as one HTML page without external resources.
 *
 * <p>Immutable and thread-safe.
 */
final class BurnHtmlReport {
    private static final String STYLESHEET =
            "body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:64rem;"
                    + "padding:0 1rem;color:#1f2933}h1{font-size:1.5rem}h2{font-size:1.15rem;"
                    + "margin-top:2rem}table{border-collapse:collapse;width:100%}th,td{"
                    + "padding:.3rem .6rem;border-bottom:1px solid #d9e0e6;text-align:right}"
                    + "th:first-child,td:first-child,th:nth-child(2),td:nth-child(2),"
                    + "th:last-child,td:last-child{text-align:left}tr.over td{background:#fdecea}"
                    + "img{max-width:100%;height:auto}p.lack{background:#fff4d6;padding:.5rem}";

    private final BurnReport mReport;
    private final CollectedBurnMessages mCollected;

    private BurnHtmlReport(BurnReport report, CollectedBurnMessages collected) {
        mReport = report;
        mCollected = collected;
    }

    static BurnHtmlReport of(BurnReport report, CollectedBurnMessages collected) {
        return new BurnHtmlReport(report, collected);
    }

    String toHtml() {
        StringBuilder page = new StringBuilder("<!DOCTYPE html>\n<html lang=\"en\"><head>");
        page.append("<meta charset=\"utf-8\"><title>Service-level burn</title><style>")
                .append(STYLESHEET)
                .append("</style></head><body>\n<h1>Service-level burn</h1>\n");
        appendSources(page);
        appendTable(page);
        for (BurnChart chart : BurnChart.allOf(mReport)) {
            page.append("<h2>")
                    .append(escape(chart.title()))
                    .append("</h2>\n<img alt=\"")
                    .append(escape(chart.title()))
                    .append("\" src=\"data:image/png;base64,")
                    .append(chart.pngBase64())
                    .append("\">\n");
        }
        return page.append("</body></html>\n").toString();
    }

    private void appendSources(StringBuilder page) {
        page.append("<p>Merged over ")
                .append(escape(String.join(", ", mCollected.instances())))
                .append(
                        ". A burn rate of 1 uses up exactly the error budget; rows above 1"
                                + " over the long window are marked.</p>\n");
        if (!mCollected.missing().isEmpty()) {
            page.append("<p class=\"lack\">No figures from: ")
                    .append(escape(String.join(", ", mCollected.missing())))
                    .append("</p>\n");
        }
    }

    private void appendTable(StringBuilder page) {
        page.append("<table><thead><tr>");
        List.of(
                        "Workspace",
                        "Objective",
                        "Target",
                        "Burn, short window",
                        "Burn, long window",
                        "Budget left",
                        "Bad",
                        "Total",
                        "Share of all bad",
                        "Worst engine")
                .forEach(h -> page.append("<th>").append(h).append("</th>"));
        page.append("</tr></thead><tbody>\n");
        mReport.rows().forEach(b -> appendRow(page, b));
        page.append("</tbody></table>\n");
    }

    private static void appendRow(StringBuilder page, ObjectiveBurnRate b) {
        page.append(b.longWindowBurnRate() > 1 ? "<tr class=\"over\">" : "<tr>");
        List.of(
                        b.workspace().value(),
                        b.objective().wireName().replace('_', ' '),
                        ListCommands.formatPercent(b.target()),
                        String.format("%.2f", b.shortWindowBurnRate()),
                        String.format("%.2f", b.longWindowBurnRate()),
                        String.format("%.1f%%", b.remainingErrorBudget() * 100),
                        Long.toString(b.badCount()),
                        Long.toString(b.totalCount()),
                        String.format("%.0f%%", b.shareOfAllBad() * 100),
                        b.worstEngine())
                .forEach(cell -> page.append("<td>").append(escape(cell)).append("</td>"));
        page.append("</tr>\n");
    }

    private static String escape(String text) {
        return HtmlEscapers.htmlEscaper().escape(text);
    }
}
