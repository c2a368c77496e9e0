package org.catkinproxy.cli;

import org.catkinproxy.burn.BurnObjective;
import org.catkinproxy.burn.BurnReport;
import org.catkinproxy.burn.ObjectiveBurnRate;
import org.catkinproxy.burn.RequestStats;
import org.catkinproxy.id.WorkspaceId;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.internal.chartpart.Chart;
import org.knowm.xchart.style.Styler;
import org.knowm.xchart.style.markers.SeriesMarkers;

import java.awt.Color;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * A chart of a burn report: the burn rates of one objective, or the times to first token.
 *
 * <p>Not thread-safe.
 */
final class BurnChart {
    private static final int WIDTH_PIXELS = 960;
    private static final int HEIGHT_PIXELS = 360;
    private static final double MAX_PLOTTED_BURN_RATE = 10;
    private static final double[] PERCENTILES = {0, 10, 25, 50, 75, 90, 95, 99, 99.9, 100};

    private final String mTitle;
    private final Chart<?, ?> mChart;

    private BurnChart(String title, Chart<?, ?> chart) {
        mTitle = title;
        mChart = chart;
    }

    /**
     * Returns a burn rate chart for each objective and a chart of the times to first token; empty
     * if the report has no rows.
     */
    static List<BurnChart> allOf(BurnReport report) {
        List<BurnChart> charts = new ArrayList<>();
        if (report.rows().isEmpty()) {
            return charts;
        }
        for (BurnObjective objective : BurnObjective.values()) {
            charts.add(burnRateChart(report, objective));
        }
        charts.add(firstTokenChart(report));
        return charts;
    }

    String title() {
        return mTitle;
    }

    String pngBase64() {
        try {
            byte[] png = BitmapEncoder.getBitmapBytes(mChart, BitmapEncoder.BitmapFormat.PNG);
            return Base64.getEncoder().encodeToString(png);
        } catch (IOException e) {
            // Does not happen: encoding in memory does no I/O.
            throw new UncheckedIOException("encoding a PNG in memory failed", e);
        }
    }

    private static BurnChart burnRateChart(BurnReport report, BurnObjective objective) {
        List<String> workspaces = new ArrayList<>();
        List<Double> shortWindowRates = new ArrayList<>();
        List<Double> longWindowRates = new ArrayList<>();
        for (ObjectiveBurnRate b : report.rows()) {
            if (b.objective() == objective) {
                workspaces.add(b.workspace().value());
                shortWindowRates.add(Math.min(b.shortWindowBurnRate(), MAX_PLOTTED_BURN_RATE));
                longWindowRates.add(Math.min(b.longWindowBurnRate(), MAX_PLOTTED_BURN_RATE));
            }
        }
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH_PIXELS)
                        .height(HEIGHT_PIXELS)
                        .yAxisTitle("burn rate, limited to " + (int) MAX_PLOTTED_BURN_RATE)
                        .build();
        applyStyle(chart.getStyler());
        chart.getStyler().setAvailableSpaceFill(0.6).setYAxisMin(0.0);
        chart.addSeries("short window", workspaces, shortWindowRates);
        chart.addSeries("long window", workspaces, longWindowRates);
        return new BurnChart("Burn rate: " + objective.wireName().replace('_', ' '), chart);
    }

    private static BurnChart firstTokenChart(BurnReport report) {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH_PIXELS)
                        .height(HEIGHT_PIXELS)
                        .xAxisTitle("percent of requests")
                        .yAxisTitle("ms")
                        .build();
        applyStyle(chart.getStyler());
        chart.getStyler().setYAxisMin(0.0);
        for (WorkspaceId workspace : workspaces(report)) {
            RequestStats stats = report.longWindowStats(workspace);
            if (stats.firstTokenCount() == 0) {
                continue;
            }
            double[] millis = new double[PERCENTILES.length];
            for (int i = 0; i < PERCENTILES.length; i++) {
                millis[i] = stats.firstTokenPercentileMillis(PERCENTILES[i]);
            }
            chart.addSeries(workspace.value(), PERCENTILES, millis).setMarker(SeriesMarkers.CIRCLE);
        }
        return new BurnChart("Time to first token, long window", chart);
    }

    private static List<WorkspaceId> workspaces(BurnReport report) {
        return report.rows().stream().map(ObjectiveBurnRate::workspace).distinct().toList();
    }

    private static void applyStyle(Styler styler) {
        styler.setDecimalPattern("#0.0");
        styler.setLegendPosition(Styler.LegendPosition.OutsideE);
        styler.setChartBackgroundColor(Color.WHITE);
        styler.setPlotBorderVisible(false);
    }
}
