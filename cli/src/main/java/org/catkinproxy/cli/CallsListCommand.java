package org.catkinproxy.cli;

import org.catkinproxy.admin.CallView;

import java.time.Duration;
import java.util.List;

/** Lists the calls whose outcome is unknown, oldest first. Single use; not thread-safe. */
final class CallsListCommand extends Command {
    @Override
    void run(CommandContext context) {
        List<CallView> calls =
                context.client().getList("/operator/calls?state=open", CallView.class);
        context.print(calls, toTable(calls));
    }

    static TextTable toTable(List<CallView> calls) {
        TextTable table =
                TextTable.of(
                        "WORKSPACE",
                        "KEY",
                        "STATE",
                        "SERVICE",
                        "OPERATION",
                        "ROUTER",
                        "AGE",
                        "NOTE");
        for (CallView c : calls) {
            table.addRow(
                    c.workspace(),
                    c.key(),
                    c.state(),
                    c.service(),
                    c.operation(),
                    c.router(),
                    Duration.ofMillis(c.ageMillis()).toSeconds() + " s",
                    c.note());
        }
        return table;
    }
}
