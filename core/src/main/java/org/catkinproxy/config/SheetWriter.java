package org.catkinproxy.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.dataformat.csv.CsvMapper;
import com.fasterxml.jackson.dataformat.csv.CsvParser;

import org.catkinproxy.id.AdapterId;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Writes a configuration as a sheet, row by row.
 *
 * <p>Used by one thread while a sheet is written.
 */
final class SheetWriter {
    private static final CsvMapper MAPPER =
            CsvMapper.builder().enable(CsvParser.Feature.WRAP_AS_ARRAY).build();

    private final List<String[]> mLines = new ArrayList<>();

    /** Returns the sheet of a configuration; its revision is no part of a sheet. */
    String write(Configuration configuration) {
        header();
        configuration.workspaces().forEach(this::workspace);
        configuration.pools().forEach(this::pool);
        configuration.members().forEach(this::member);
        configuration.assignments().forEach(this::assignment);
        configuration.services().forEach(this::service);
        configuration.rules().forEach(r -> rule(configuration, r));
        try {
            return MAPPER.writer().writeValueAsString(mLines);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("strings can always be written as CSV", e);
        }
    }

    private void header() {
        List<String> headings = new ArrayList<>();
        for (SheetColumn column : SheetColumn.values()) {
            headings.add(column.heading());
        }
        mLines.add(headings.toArray(new String[0]));
    }

    private void workspace(Workspace workspace) {
        Objectives objectives = workspace.objectives();
        String value =
                String.join(
                        " ",
                        "share=" + workspace.share(),
                        "first_token_ms=" + objectives.firstTokenMillis(),
                        "first_token_share=" + objectives.firstTokenShare(),
                        "availability=" + objectives.availability(),
                        "hit_rate=" + objectives.hitRate());
        String id = workspace.id().value();
        row(SheetKind.WORKSPACE_ROW, Map.of(SheetColumn.WORKSPACE, id, SheetColumn.VALUE, value));
        for (String digest : new TreeSet<>(workspace.keyDigests())) {
            row(SheetKind.KEY_ROW, Map.of(SheetColumn.WORKSPACE, id, SheetColumn.VALUE, digest));
        }
    }

    private void pool(Pool pool) {
        String fencing = pool.checksFencing() ? "checked" : "ignored";
        String value = "fencing=" + fencing + " loads=" + pool.concurrentLoads();
        row(
                SheetKind.POOL_ROW,
                Map.of(SheetColumn.POOL, pool.id().value(), SheetColumn.VALUE, value));
    }

    private void member(Member member) {
        row(
                SheetKind.INSTANCE_ROW,
                Map.of(
                        SheetColumn.INSTANCE, member.instance().value(),
                        SheetColumn.POOL, member.pool().value(),
                        SheetColumn.VALUE, member.leaving() ? "leave" : "join"));
    }

    private void assignment(Assignment assignment) {
        AdapterId adapter = assignment.weights().adapter();
        row(
                SheetKind.MODEL_ROW,
                Map.of(
                        SheetColumn.WORKSPACE, assignment.workspace().value(),
                        SheetColumn.MODEL, assignment.weights().model().value(),
                        SheetColumn.ADAPTER, adapter.equals(AdapterId.BASE) ? "" : adapter.value(),
                        SheetColumn.VERSION, assignment.weights().version().value(),
                        SheetColumn.POOL, assignment.pool().value()));
    }

    private void service(ServiceRoute route) {
        row(
                SheetKind.SERVICE_ROW,
                Map.of(
                        SheetColumn.WORKSPACE, route.workspace().value(),
                        SheetColumn.SERVICE, route.service().value(),
                        SheetColumn.POOL, route.pool().value()));
    }

    private void rule(Configuration configuration, RequestRule rule) {
        boolean isService = configuration.service(rule.workspace(), rule.target()).isPresent();
        row(
                SheetKind.REQUEST_ROW,
                Map.of(
                        SheetColumn.WORKSPACE,
                        rule.workspace().value(),
                        isService ? SheetColumn.SERVICE : SheetColumn.MODEL,
                        rule.target(),
                        SheetColumn.MATCH,
                        rule.match(),
                        SheetColumn.VALUE,
                        rule.kind().wire()));
    }

    private void row(SheetKind kind, Map<SheetColumn, String> cells) {
        Map<SheetColumn, String> all = new EnumMap<>(cells);
        all.put(SheetColumn.KIND, kind.wire());
        String[] line = new String[SheetColumn.values().length];
        for (SheetColumn column : SheetColumn.values()) {
            line[column.ordinal()] = all.getOrDefault(column, "");
        }
        mLines.add(line);
    }
}
