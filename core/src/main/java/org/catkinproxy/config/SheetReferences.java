package org.catkinproxy.config;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.WorkspaceId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The names that the rows of a sheet define and reference.
 *
 * <p>Each name must be defined exactly once, in a row before or after those that reference it. Not
 * thread-safe.
 */
final class SheetReferences {
    private final Map<ScopedName, Integer> mDefiningRows = new HashMap<>();
    private final List<Reference> mReferences = new ArrayList<>();

    void defineWorkspace(SheetRow row, WorkspaceId id) {
        define(row, SheetColumn.WORKSPACE, new ScopedName("workspace", "", id.value()));
    }

    void definePool(SheetRow row, PoolId id) {
        define(row, SheetColumn.POOL, new ScopedName("pool", "", id.value()));
    }

    void defineInstance(SheetRow row, InstanceId id) {
        define(row, SheetColumn.INSTANCE, new ScopedName("instance", "", id.value()));
    }

    /**
     * Defines a model in the namespace that it shares with the services of the workspace, so that
     * the target of a rule is unambiguous.
     */
    void defineModel(SheetRow row, WorkspaceId workspace, String model) {
        define(row, SheetColumn.MODEL, new ScopedName("target", workspace.value(), model));
    }

    void defineService(SheetRow row, WorkspaceId workspace, String service) {
        define(row, SheetColumn.SERVICE, new ScopedName("target", workspace.value(), service));
    }

    void defineRule(SheetRow row, WorkspaceId workspace, String match) {
        String target = row.text(SheetColumn.MODEL) + row.text(SheetColumn.SERVICE);
        define(row, SheetColumn.MATCH, new ScopedName("rule", workspace + "/" + target, match));
    }

    void referenceWorkspace(SheetRow row, WorkspaceId id) {
        mReferences.add(
                new Reference(
                        row, SheetColumn.WORKSPACE, new ScopedName("workspace", "", id.value())));
    }

    void referencePool(SheetRow row, PoolId id) {
        mReferences.add(
                new Reference(row, SheetColumn.POOL, new ScopedName("pool", "", id.value())));
    }

    void referenceTarget(SheetRow row, SheetColumn column, WorkspaceId workspace) {
        mReferences.add(
                new Reference(
                        row,
                        column,
                        new ScopedName("target", workspace.value(), row.text(column))));
    }

    /** Reports each reference to a name that no row defines. */
    void reportUndefined() {
        for (Reference reference : mReferences) {
            if (!mDefiningRows.containsKey(reference.name())) {
                reference.row().reportError(reference.column(), "a name that another row defines");
            }
        }
    }

    private void define(SheetRow row, SheetColumn column, ScopedName name) {
        Integer definingRow = mDefiningRows.putIfAbsent(name, row.rowNumber());
        if (definingRow != null) {
            row.reportError(column, "a name that row " + definingRow + " does not define");
        }
    }

    private record ScopedName(String namespace, String scope, String value) {}

    private record Reference(SheetRow row, SheetColumn column, ScopedName name) {}
}
