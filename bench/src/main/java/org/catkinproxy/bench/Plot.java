package org.catkinproxy.bench;

import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Draws the contenders' measures, relative to the largest of each. Stateless. */
final class Plot {
    private static final int WIDTH_PIXELS = 1_000;
    private static final int HEIGHT_PIXELS = 600;
    private static final double P95 = 95;
    private static final double P99 = 99;

    private Plot() {}

    /** Writes a PNG file. */
    static void write(Deployment deployment, Map<Contender, Runs> steady, String file) {
        CategoryChart chart =
                new CategoryChartBuilder()
                        .width(WIDTH_PIXELS)
                        .height(HEIGHT_PIXELS)
                        .title(deployment.name().toLowerCase(Locale.ROOT) + ", medians")
                        .xAxisTitle("measure")
                        .yAxisTitle("share of the largest")
                        .build();
        List<String> measures = List.of("hit rate", "p95", "p99", "wasted");
        Map<Contender, double[]> medians = new java.util.EnumMap<>(Contender.class);
        double[] largest = new double[measures.size()];
        steady.forEach(
                (contender, runs) -> {
                    double[] values = medians(runs);
                    medians.put(contender, values);
                    for (int i = 0; i < values.length; i++) {
                        largest[i] = Math.max(largest[i], values[i]);
                    }
                });
        medians.forEach(
                (contender, values) -> {
                    List<Double> shares = new ArrayList<>();
                    for (int i = 0; i < values.length; i++) {
                        shares.add(largest[i] == 0 ? 0 : values[i] / largest[i]);
                    }
                    chart.addSeries(contender.title(), measures, shares);
                });
        save(chart, file);
    }

    private static double[] medians(Runs runs) {
        return new double[] {
            runs.spread(0, Tally::hitRate).median(),
            runs.spread(0, t -> t.firstTokenMillis(P95)).median(),
            runs.spread(0, t -> t.firstTokenMillis(P99)).median(),
            runs.spread(0, Tally::wastedShare).median()
        };
    }

    private static void save(CategoryChart chart, String file) {
        try {
            BitmapEncoder.saveBitmap(chart, file, BitmapEncoder.BitmapFormat.PNG);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
