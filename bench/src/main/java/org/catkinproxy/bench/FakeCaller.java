package org.catkinproxy.bench;

import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.WorkspaceId;
import org.catkinproxy.route.RouteRequest;

/**
 * One caller with one call: sends it, waits until its deadline, and sends it again a few times.
 *
 * <p>Owned by the event loop.
 */
final class FakeCaller {
    private static final int MAX_SENDS = 3;
    private static final long RESEND_NANOS = 1 * EventLoop.SECOND;

    private final World mWorld;
    private final Call mCall;
    private FakeRouter mRouter;
    private RouteRequest mRequest;
    private int mSends;
    private boolean mAnswered;

    FakeCaller(World world, Call call) {
        mWorld = world;
        mCall = call;
    }

    Call call() {
        return mCall;
    }

    RequestId request() {
        return mRequest.id();
    }

    RouteRequest routeRequest() {
        return mRequest;
    }

    void send() {
        mSends++;
        long patience = mWorld.deployment().deadlineNanos(mCall.priority());
        mRequest =
                new RouteRequest(
                        RequestId.of("call-" + mCall.number() + "." + mSends),
                        WorkspaceId.of("workspace-" + mCall.workspace()),
                        Deployment.WEIGHTS,
                        Deployment.POOL,
                        mCall.priority(),
                        mCall.blocks(),
                        mCall.outputTokens(),
                        mWorld.loop().now() + patience);
        mRouter = mWorld.pickRouter(mCall, mSends);
        int send = mSends;
        mWorld.loop().after(patience, () -> timeOut(send));
        mRouter.send(this);
    }

    void refused() {
        sendAgain();
    }

    void firstToken() {
        if (!mAnswered) {
            mAnswered = true;
            mWorld.over(mCall, true);
        }
    }

    private void timeOut(int send) {
        if (!mAnswered && send == mSends) {
            mRouter.withdraw(this);
            sendAgain();
        }
    }

    private void sendAgain() {
        if (mAnswered) {
            return;
        }
        if (mSends == MAX_SENDS) {
            mAnswered = true;
            mWorld.over(mCall, false);
            return;
        }
        int send = mSends;
        mWorld.loop()
                .after(
                        RESEND_NANOS + mWorld.jitterNanos(RESEND_NANOS),
                        () -> {
                            if (send == mSends) {
                                send();
                            }
                        });
    }
}
