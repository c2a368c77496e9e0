package org.catkinproxy.cli;

import org.catkinproxy.admin.CallView;
import org.kohsuke.args4j.Option;

import java.time.Duration;
import java.util.List;

/** Lists calls that may run once. Used for one run by one thread. */
final class CallsListCommand extends Command {
    @Option(name = "--all", usage = "list settled calls too")
    private boolean mAll;

    @Override
    void run(Session session) {
        String path = "/operator/calls?state=" + (mAll ? "all" : "open");
        List<CallView> calls = session.client().list(path, CallView.class);
        session.print(calls, table(calls));
    }

    static TextTable table(List<CallView> calls) {
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
            table.add(
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
