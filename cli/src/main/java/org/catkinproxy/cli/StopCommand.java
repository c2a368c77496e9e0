package org.catkinproxy.cli;

import org.catkinproxy.admin.InstanceView;
import org.catkinproxy.admin.StopView;
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
        StopView stop = client.postMessage("/operator/stop/" + mInstance, "", StopView.class);
        session.print(stop, stop.instance() + " is " + stop.state());
        if (mWait && !session.waitUntil(() -> hasLeft(client))) {
            throw new CliException(
                    ExitCode.TIMED_OUT,
                    mInstance
                            + " gets no new work but has not left after "
                            + session.timeout().toSeconds()
                            + " s: it still ends its requests. Repeat with a longer --timeout.");
        }
    }

    private boolean hasLeft(OperatorClient client) {
        return client.list("/operator/instances", InstanceView.class).stream()
                .filter(i -> i.instance().equals(mInstance))
                .allMatch(i -> i.state().equals(LEFT));
    }
}
