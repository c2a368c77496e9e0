package org.catkinproxy.cli;

import org.catkinproxy.admin.AcceptedRevisionView;
import org.catkinproxy.admin.EngineView;
import org.catkinproxy.admin.InstanceStatus;
import org.catkinproxy.admin.InstanceView;
import org.catkinproxy.admin.ModelView;
import org.catkinproxy.admin.WorkspaceView;

import java.time.Instant;
import java.util.List;

/** Creates the commands that print a list or a status. Stateless and thread-safe. */
final class ListCommands {
    private ListCommands() {}

    static Command status() {
        return new Command() {
            @Override
            void run(CommandContext context) {
                InstanceStatus s = context.client().get("/operator/status", InstanceStatus.class);
                TextTable table =
                        TextTable.of(
                                "INSTANCE",
                                "DATA CENTRE",
                                "STATE",
                                "READY",
                                "REVISION",
                                "ENGINES",
                                "PEERS",
                                "OPEN");
                table.addRow(
                        s.instance(),
                        s.dataCentre(),
                        s.state(),
                        s.ready() ? "yes" : "no",
                        s.revision(),
                        s.engines(),
                        s.peers(),
                        s.openRequests());
                context.print(s, table);
            }
        };
    }

    static Command workspaces() {
        return new ListCommand<>(
                "/operator/workspaces",
                WorkspaceView.class,
                List.of(
                        "WORKSPACE",
                        "SHARE",
                        "KEYS",
                        "FIRST TOKEN",
                        "OF",
                        "AVAILABILITY",
                        "HIT RATE"),
                w ->
                        new Object[] {
                            w.workspace(),
                            w.share(),
                            w.keys(),
                            w.firstTokenMillis() + " ms",
                            formatPercent(w.firstTokenShare()),
                            formatPercent(w.availability()),
                            formatPercent(w.hitRate())
                        });
    }

    static Command models() {
        return new ListCommand<>(
                "/operator/models",
                ModelView.class,
                List.of("WORKSPACE", "MODEL", "ADAPTER", "VERSION", "POOL"),
                m -> new Object[] {m.workspace(), m.model(), m.adapter(), m.version(), m.pool()});
    }

    static Command engines() {
        return new ListCommand<>(
                "/operator/engines",
                EngineView.class,
                List.of(
                        "ENGINE",
                        "POOL",
                        "STATE",
                        "INCARNATION",
                        "RUNNING",
                        "QUEUED",
                        "SLOTS",
                        "AGE",
                        "WEIGHTS"),
                e ->
                        new Object[] {
                            e.engine(),
                            e.pool(),
                            e.state(),
                            e.incarnation(),
                            e.running(),
                            e.queued(),
                            e.slots(),
                            e.ageMillis() + " ms",
                            String.join(" ", e.weights())
                        });
    }

    static Command instances() {
        return new ListCommand<>(
                "/operator/instances",
                InstanceView.class,
                List.of(
                        "INSTANCE",
                        "KIND",
                        "ADDRESS",
                        "OPERATORS",
                        "DATA CENTRE",
                        "STATE",
                        "WEIGHT"),
                i ->
                        new Object[] {
                            i.instance(),
                            i.kind(),
                            i.address(),
                            i.operatorAddress().isEmpty() ? "-" : i.operatorAddress(),
                            i.dataCentre(),
                            i.state(),
                            i.weight()
                        });
    }

    static Command sheetHistory() {
        return new ListCommand<>(
                "/operator/sheet/history",
                AcceptedRevisionView.class,
                List.of("REVISION", "OPERATOR", "ACCEPTED"),
                a ->
                        new Object[] {
                            a.revision(), a.operator(), Instant.ofEpochMilli(a.acceptedMillis())
                        });
    }

    static String formatPercent(double ratio) {
        return String.format("%.4g%%", ratio * 100);
    }
}
