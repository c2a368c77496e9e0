package org.catkinproxy.cli;

import org.catkinproxy.admin.InstanceRevisionView;

import java.util.List;

/** Waits until a revision is active at all instances. Not thread-safe. */
final class RevisionWaiter {
    private final CommandContext mContext;
    private final OperatorClient mClient;
    private final long mRevision;
    private List<String> mLaggingInstances = List.of();

    RevisionWaiter(CommandContext context, OperatorClient client, long revision) {
        mContext = context;
        mClient = client;
        mRevision = revision;
    }

    /**
     * Waits until the revision is active at all instances.
     *
     * @throws CliException if the wait times out, with the names of the lagging instances
     */
    void await() {
        if (!mContext.waitUntil(this::isActiveEverywhere)) {
            throw new CliException(
                    ExitCode.TIMED_OUT,
                    "revision "
                            + mRevision
                            + " is accepted and will not revert, but after "
                            + mContext.waitTimeout().toSeconds()
                            + " s these instances are not known to have it: "
                            + String.join(", ", mLaggingInstances)
                            + ". Check with 'catkinctl instances' whether they are still running.");
        }
        mContext.printProgress("revision " + mRevision + " is in force everywhere");
    }

    private boolean isActiveEverywhere() {
        List<InstanceRevisionView> revisions =
                mClient.getList("/operator/revisions", InstanceRevisionView.class);
        List<String> lagging =
                revisions.stream()
                        .filter(r -> r.revision() < mRevision)
                        .map(InstanceRevisionView::instance)
                        .toList();
        if (!lagging.equals(mLaggingInstances)) {
            mContext.printProgress(
                    (revisions.size() - lagging.size())
                            + " of "
                            + revisions.size()
                            + " instances have the revision");
        }
        mLaggingInstances = lagging;
        return lagging.isEmpty() && !revisions.isEmpty();
    }
}
