package org.catkinproxy.cli;

import org.catkinproxy.admin.CallView;
import org.kohsuke.args4j.Argument;

import java.util.List;

/** Shows one at-most-once call. Single use; not thread-safe. */
final class CallsShowCommand extends Command {
    @Argument(index = 0, metaVar = "WORKSPACE", required = true, usage = "the workspace")
    private String mWorkspace;

    @Argument(index = 1, metaVar = "KEY", required = true, usage = "the idempotency key")
    private String mCallKey;

    @Override
    void run(CommandContext context) {
        CallView call =
                context.client()
                        .get("/operator/calls/" + mWorkspace + "/" + mCallKey, CallView.class);
        context.print(call, CallsListCommand.toTable(List.of(call)));
    }
}
