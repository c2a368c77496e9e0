package org.catkinproxy.observe;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.WorkspaceId;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

class MetricsTest {
    private static final Path DOCS = Path.of("..", "docs");

    private final Metrics mMetrics = Metrics.create();

    @Example
    void everyMetricOfTheCatalogueIsScraped() {
        answer("depot", "engine-1");
        mMetrics.failed(WorkspaceId.of("depot"), Optional.empty(), ErrorCode.QUEUE_FULL);
        for (Metric metric : Metric.values()) {
            if (metric.labels().isEmpty()) {
                mMetrics.gauge(metric, () -> 1);
            }
        }
        String text = mMetrics.scrape();
        for (Metric metric : Metric.values()) {
            assertThat(text).contains("\n" + metric.prometheusName());
            for (String label : metric.labels()) {
                assertThat(text).containsMatch(metric.prometheusName() + "[^ ]*" + label + "=");
            }
        }
    }

    @Example
    void labelsStayBounded() {
        for (int i = 0; i < 1_000; i++) {
            answer("workspace-" + i, "engine-" + i);
        }
        long series =
                mMetrics.scrape().lines().filter(l -> l.contains("prompt_tokens_total{")).count();
        assertThat(series).isAtMost(65);
        assertThat(mMetrics.scrape()).contains("prompt_tokens_total{workspace=\"other\"} 93600.0");
    }

    @Example
    void callersFaultsAreNotFailures() {
        WorkspaceId depot = WorkspaceId.of("depot");
        mMetrics.failed(depot, Optional.empty(), ErrorCode.MALFORMED_BODY);
        mMetrics.failed(depot, Optional.empty(), ErrorCode.STREAM_BROKEN);
        assertThat(mMetrics.scrape())
                .contains("requests_total{outcome=\"refused\",workspace=\"depot\"} 1.0");
        assertThat(mMetrics.scrape())
                .contains("requests_total{outcome=\"failed\",workspace=\"depot\"} 1.0");
    }

    @Example
    void metricsPageListsExactlyTheMetrics() throws IOException {
        List<String> wanted =
                Arrays.stream(Metric.values())
                        .map(
                                m ->
                                        String.format(
                                                "| `%s` | %s | %s | %s |",
                                                m.prometheusName(),
                                                m.unit(),
                                                m.labels().isEmpty()
                                                        ? "-"
                                                        : String.join(", ", m.labels()),
                                                m.meaning()))
                        .toList();
        assertThat(tableRows("METRICS.md", "| `catkinproxy_")).isEqualTo(wanted);
    }

    @Example
    void eventsPageListsExactlyTheEvents() throws IOException {
        List<String> wanted =
                Arrays.stream(LogEvent.values())
                        .map(
                                e ->
                                        String.format(
                                                "| %d | `%s` | %s | `%s` |",
                                                e.number(), e.name(), e.level(), e.template()))
                        .toList();
        List<String> listed =
                tableRows("EVENTS.md", "| ").stream()
                        .filter(row -> Character.isDigit(row.charAt(2)))
                        .toList();
        assertThat(listed).containsExactlyElementsIn(wanted).inOrder();
    }

    @Example
    void eventNumbersAreUnique() {
        assertThat(Arrays.stream(LogEvent.values()).map(LogEvent::number).toList())
                .containsNoDuplicates();
    }

    private void answer(String workspace, String engine) {
        mMetrics.answered(
                WorkspaceId.of(workspace), EngineId.of(engine), Duration.ofMillis(30), 100, 50, 10);
    }

    private static List<String> tableRows(String page, String start) throws IOException {
        return Files.readAllLines(DOCS.resolve(page)).stream()
                .filter(line -> line.startsWith(start))
                .toList();
    }
}
