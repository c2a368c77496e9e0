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
 * Writes one configuration as a sheet.
 *
 * <p>Each writer writes only one sheet. Not thread-safe.
 */
final class SheetWriter {
    private static final CsvMapper MAPPER =
            CsvMapper.builder().enable(CsvParser.Feature.WRAP_AS_ARRAY).build();

    private final List<String[]> mLines = new ArrayList<>();

    /** Returns the configuration as CSV, without the revision, which sheets do not contain. */
    String write(Configuration configuration) {
        appendHeader();
        configuration.workspaces().forEach(this::appendWorkspace);
        configuration.pools().forEach(this::appendPool);
        configuration.members().forEach(this::appendMember);
        configuration.assignments().forEach(this::appendAssignment);
        configuration.services().forEach(this::appendServiceRoute);
        configuration.rules().forEach(r -> appendRule(configuration, r));
        try {
            return MAPPER.writer().writeValueAsString(mLines);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("unexpected failure to write strings as CSV", e);
        }
    }

    private void appendHeader() {
        List<String> headings = new ArrayList<>();
        for (SheetColumn column : SheetColumn.values()) {
            headings.add(column.heading());
        }
        mLines.add(headings.toArray(new String[0]));
    }

    private void appendWorkspace(Workspace workspace) {
        ServiceLevelObjectives objectives = workspace.objectives();
        String value =
                String.join(
                        " ",
                        "share=" + workspace.share(),
                        "first_token_ms=" + objectives.firstTokenMillis(),
                        "first_token_share=" + objectives.firstTokenShare(),
                        "availability=" + objectives.availability(),
                        "hit_rate=" + objectives.hitRate());
        String id = workspace.id().value();
        appendRow(
                SheetRowKind.WORKSPACE_ROW,
                Map.of(SheetColumn.WORKSPACE, id, SheetColumn.VALUE, value));
        for (String digest : new TreeSet<>(workspace.keyDigests())) {
            appendRow(
                    SheetRowKind.KEY_ROW,
                    Map.of(SheetColumn.WORKSPACE, id, SheetColumn.VALUE, digest));
        }
    }

    private void appendPool(Pool pool) {
        String fencing = pool.checksFencing() ? "checked" : "ignored";
        String value = "fencing=" + fencing + " loads=" + pool.maxConcurrentLoads();
        appendRow(
                SheetRowKind.POOL_ROW,
                Map.of(SheetColumn.POOL, pool.id().value(), SheetColumn.VALUE, value));
    }

    private void appendMember(PoolMember member) {
        appendRow(
                SheetRowKind.INSTANCE_ROW,
                Map.of(
                        SheetColumn.INSTANCE, member.instance().value(),
                        SheetColumn.POOL, member.pool().value(),
                        SheetColumn.VALUE, member.leaving() ? "leave" : "join"));
    }

    private void appendAssignment(ModelAssignment assignment) {
        AdapterId adapter = assignment.weights().adapter();
        appendRow(
                SheetRowKind.MODEL_ROW,
                Map.of(
                        SheetColumn.WORKSPACE, assignment.workspace().value(),
                        SheetColumn.MODEL, assignment.weights().model().value(),
                        SheetColumn.ADAPTER, adapter.equals(AdapterId.BASE) ? "" : adapter.value(),
                        SheetColumn.VERSION, assignment.weights().version().value(),
                        SheetColumn.POOL, assignment.pool().value()));
    }

    private void appendServiceRoute(ServiceRoute route) {
        appendRow(
                SheetRowKind.SERVICE_ROW,
                Map.of(
                        SheetColumn.WORKSPACE, route.workspace().value(),
                        SheetColumn.SERVICE, route.service().value(),
                        SheetColumn.POOL, route.pool().value()));
    }

    private void appendRule(Configuration configuration, RequestRule rule) {
        boolean isService =
                configuration.findServiceRoute(rule.workspace(), rule.target()).isPresent();
        appendRow(
                SheetRowKind.REQUEST_ROW,
                Map.of(
                        SheetColumn.WORKSPACE,
                        rule.workspace().value(),
                        isService ? SheetColumn.SERVICE : SheetColumn.MODEL,
                        rule.target(),
                        SheetColumn.MATCH,
                        rule.match(),
                        SheetColumn.VALUE,
                        rule.kind().wireName()));
    }

    private void appendRow(SheetRowKind kind, Map<SheetColumn, String> cells) {
        Map<SheetColumn, String> allCells = new EnumMap<>(cells);
        allCells.put(SheetColumn.KIND, kind.wireName());
        String[] line = new String[SheetColumn.values().length];
        for (SheetColumn column : SheetColumn.values()) {
            line[column.ordinal()] = allCells.getOrDefault(column, "");
        }
        mLines.add(line);
    }
}
