package org.catkinproxy.cli;

import org.catkinproxy.admin.CallView;
import org.catkinproxy.admin.ResolveCallRequest;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

import java.util.List;

/** Records the outcome of a call whose outcome is unknown. Single use; not thread-safe. */
final class CallsResolveCommand extends Command {
    @Argument(index = 0, metaVar = "WORKSPACE", required = true, usage = "the workspace")
    private String mWorkspace;

    @Argument(index = 1, metaVar = "KEY", required = true, usage = "the idempotency key")
    private String mCallKey;

    @Option(name = "--ran", usage = "the call ran", forbids = "--not-run")
    private boolean mRan;

    @Option(name = "--not-run", usage = "the call is known not to have run", forbids = "--ran")
    private boolean mNotRun;

    @Option(name = "--note", metaVar = "TEXT", required = true, usage = "how the outcome is known")
    private String mNote;

    @Override
    void run(CommandContext context) {
        if (mRan == mNotRun) {
            throw new CliException(
                    ExitCode.USAGE, "exactly one of --ran and --not-run is required");
        }
        String path = "/operator/calls/" + mWorkspace + "/" + mCallKey + "/resolve";
        CallView call =
                context.client()
                        .postJson(path, new ResolveCallRequest(mRan, mNote), CallView.class);
        context.print(call, CallsListCommand.toTable(List.of(call)));
    }
}
