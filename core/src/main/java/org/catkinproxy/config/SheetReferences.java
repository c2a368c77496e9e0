package org.catkinproxy.config;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.WorkspaceId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The names that the rows of a sheet define and use: each is defined once, and used only if some
 * row, before or after, defines it.
 *
 * <p>Used by one thread while a sheet is read.
 */
final class SheetReferences {
    private final Map<Name, Integer> mDefined = new HashMap<>();
    private final List<Use> mUses = new ArrayList<>();

    void defineWorkspace(SheetRow row, WorkspaceId id) {
        define(row, SheetColumn.WORKSPACE, new Name("workspace", "", id.value()));
    }

    void definePool(SheetRow row, PoolId id) {
        define(row, SheetColumn.POOL, new Name("pool", "", id.value()));
    }

    void defineInstance(SheetRow row, InstanceId id) {
        define(row, SheetColumn.INSTANCE, new Name("instance", "", id.value()));
    }

    /** Models and services share their names within a workspace, so that a rule names only one. */
    void defineModel(SheetRow row, WorkspaceId workspace, String model) {
        define(row, SheetColumn.MODEL, new Name("target", workspace.value(), model));
    }

    void defineService(SheetRow row, WorkspaceId workspace, String service) {
        define(row, SheetColumn.SERVICE, new Name("target", workspace.value(), service));
    }

    void defineRule(SheetRow row, WorkspaceId workspace, String match) {
        String target = row.text(SheetColumn.MODEL) + row.text(SheetColumn.SERVICE);
        define(row, SheetColumn.MATCH, new Name("rule", workspace + "/" + target, match));
    }

    void useWorkspace(SheetRow row, WorkspaceId id) {
        mUses.add(new Use(row, SheetColumn.WORKSPACE, new Name("workspace", "", id.value())));
    }

    void usePool(SheetRow row, PoolId id) {
        mUses.add(new Use(row, SheetColumn.POOL, new Name("pool", "", id.value())));
    }

    void useTarget(SheetRow row, SheetColumn column, WorkspaceId workspace) {
        mUses.add(new Use(row, column, new Name("target", workspace.value(), row.text(column))));
    }

    /** Reports every use of a name that no row defines. */
    void check() {
        for (Use use : mUses) {
            if (!mDefined.containsKey(use.name())) {
                use.row().reject(use.column(), "a name that another row defines");
            }
        }
    }

    private void define(SheetRow row, SheetColumn column, Name name) {
        Integer first = mDefined.putIfAbsent(name, row.number());
        if (first != null) {
            row.reject(column, "something that row " + first + " has not defined already");
        }
    }

    private record Name(String space, String scope, String value) {}

    private record Use(SheetRow row, SheetColumn column, Name name) {}
}
