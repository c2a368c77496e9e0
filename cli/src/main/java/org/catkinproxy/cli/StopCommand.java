package org.catkinproxy.cli;

import org.catkinproxy.admin.InstanceStatus;
import org.catkinproxy.admin.StopView;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Requests a graceful stop of an instance or engine.
 *
 * <p>Single use; not thread-safe.
 */
final class StopCommand extends Command {
    private static final String STATE_LEFT = "left";

    @Argument(
            metaVar = "INSTANCE|ENGINE",
            required = true,
            usage = "the instance or engine to stop")
    private String mTarget;

    @Option(name = "--wait", usage = "wait until it has finished its requests and left")
    private boolean mWait;

    @Override
    void run(CommandContext context) {
        OperatorClient client = context.client();
        String connectedInstance = client.get("/operator/status", InstanceStatus.class).instance();
        StopView stop = requestStop(client);
        context.print(stop, stop.instance() + " is " + stop.state());
        if (mWait && !context.waitUntil(() -> hasLeft(client, connectedInstance))) {
            throw new CliException(
                    ExitCode.TIMED_OUT,
                    mTarget
                            + " gets no new work but has not left after "
                            + context.waitTimeout().toSeconds()
                            + " s: requests are still running. Repeat with a longer --timeout.");
        }
        if (mWait) {
            context.printProgress(mTarget + " has left");
        }
    }

    /** Requests the stop; a repeated request returns the state of the stop. */
    private StopView requestStop(OperatorClient client) {
        return client.postJson("/operator/stop/" + mTarget, "", StopView.class);
    }

    private boolean hasLeft(OperatorClient client, String connectedInstance) {
        try {
            return requestStop(client).state().equals(STATE_LEFT);
        } catch (CatkinException e) {
            // An instance that has stopped no longer responds.
            boolean connectedInstanceStopped =
                    e.code() == ErrorCode.PEER_UNREACHABLE && mTarget.equals(connectedInstance);
            if (connectedInstanceStopped || e.code() == ErrorCode.NOT_FOUND) {
                return true;
            }
            throw e;
        }
    }
}
