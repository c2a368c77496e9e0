package org.catkinproxy.cli;

import org.catkinproxy.admin.InstanceStatus;
import org.catkinproxy.admin.StopView;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Begins a planned stop. Used for one run by one thread. */
final class StopCommand extends Command {
    private static final String LEFT = "left";

    @Argument(metaVar = "INSTANCE|ENGINE", required = true, usage = "what to stop")
    private String mInstance;

    @Option(name = "--wait", usage = "wait until it has ended its requests and left")
    private boolean mWait;

    @Override
    void run(Session session) {
        OperatorClient client = session.client();
        String asked = client.get("/operator/status", InstanceStatus.class).instance();
        StopView stop = ask(client);
        session.print(stop, stop.instance() + " is " + stop.state());
        if (mWait && !session.waitUntil(() -> hasLeft(client, asked))) {
            throw new CliException(
                    ExitCode.TIMED_OUT,
                    mInstance
                            + " gets no new work but has not left after "
                            + session.timeout().toSeconds()
                            + " s: it still ends its requests. Repeat with a longer --timeout.");
        }
        if (mWait) {
            session.progress(mInstance + " has left");
        }
    }

    /** Asks for the stop; asked again, the daemon tells how far it has come. */
    private StopView ask(OperatorClient client) {
        return client.postMessage("/operator/stop/" + mInstance, "", StopView.class);
    }

    private boolean hasLeft(OperatorClient client, String asked) {
        try {
            return ask(client).state().equals(LEFT);
        } catch (CatkinException e) {
            boolean gone = e.code() == ErrorCode.PEER_UNREACHABLE && mInstance.equals(asked);
            if (gone || e.code() == ErrorCode.NOT_FOUND) {
                return true;
            }
            throw e;
        }
    }
}
