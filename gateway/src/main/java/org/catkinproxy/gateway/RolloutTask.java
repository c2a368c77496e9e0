package org.catkinproxy.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.id.FencingNumber;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.ModelId;
import org.catkinproxy.order.LeaseAction;
import org.catkinproxy.order.LeaseEvent;
import org.catkinproxy.order.LeaseRow;
import org.catkinproxy.order.LeaseStateMachine;
import org.catkinproxy.order.StoredLease;
import org.catkinproxy.serving.LeaseAcquisitionOrder;
import org.catkinproxy.serving.Upstream;
import org.catkinproxy.serving.VersionRollout;

import io.netty.channel.EventLoop;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Rolls out the desired weights to all engines while this instance holds the rollout lease.
 *
 * <p>The instance tries to acquire the lease only while an engine has outdated weights, and lets it
 * expire after that. It reads the lease's row once before, so that it can take the lease over at
 * once if the last holder stops just as weights are named. A stopping instance keeps a lease that
 * it holds, but does not acquire one. Used by the event loop only.
 */
final class RolloutTask {
    private static final String LEASE_TABLE = "leases";
    private static final String LEASE_KEY = "weights";
    private static final long TICK_MILLIS = 50;

    /**
     * Time after a rollout in which the holder of the lease has written its row last, and after a
     * start in which the instance knows its peers.
     */
    private static final long OBSERVE_DELAY_NANOS = 1_500_000_000L;

    private final Gateway mGateway;
    private final EventLoop mLoop;
    private final TableStore mStore;
    private final EngineControl mControl;
    private final InstanceId mSelf;
    private final LeaseStateMachine mLease;
    private final ObjectMapper mJson = new ObjectMapper();
    private final VersionRollout mRollout = VersionRollout.create();
    private final RolloutBroadcast mBroadcast;
    private boolean mRunning;

    /** Since when an engine has had outdated weights; valid while the task is running. */
    private long mNeededSince;

    private Optional<FencingNumber> mFencingNumber = Optional.empty();

    /** Whether the lease's row has to be observed once no rollout is needed, and from when on. */
    private boolean mObserveDue = true;

    private long mObserveAt = System.nanoTime() + OBSERVE_DELAY_NANOS;

    RolloutTask(
            Gateway gateway,
            TableStore store,
            EngineControl control,
            InstanceId self,
            String session,
            Duration ttl,
            RolloutBroadcast broadcast) {
        mGateway = gateway;
        mLoop = gateway.loop();
        mStore = store;
        mControl = control;
        mSelf = self;
        mBroadcast = broadcast;
        mLease = LeaseStateMachine.of(self, session, ttl);
    }

    /** Starts the task unless it is running; it ends when no engine has outdated weights. */
    void ensureRunning() {
        if (!mRunning) {
            mRunning = true;
            mNeededSince = mGateway.now();
            mLoop.execute(this::tick);
        }
    }

    /** Handles a new era of the store, which ends a lease that is held. */
    void onNewEra(long era) {
        mObserveDue = true;
        handleLeaseEvent(new LeaseEvent.EraObserved(era));
        recordHolding(mLease.heldFencingNumber(mGateway.now()));
    }

    private void tick() {
        Map<ModelId, Integer> desired = mGateway.desiredVersions().newest();
        List<Upstream> engines = mGateway.upstreamTracker().activeEngines();
        boolean needed = engines.stream().anyMatch(e -> mRollout.isOutdated(e, desired));
        long now = mGateway.now();
        boolean stoppingWithoutLease =
                mGateway.isStopping() && mLease.heldFencingNumber(now).isEmpty();
        if (!needed || stoppingWithoutLease) {
            mRunning = false;
            if (mFencingNumber.isPresent()) {
                mRollout.plan(desired, engines, mGateway::openRequestsAt, now);
                mBroadcast.publish(mRollout.state(now));
            }
            observeLease(now);
            return;
        }
        mObserveDue = true;
        mObserveAt = now + OBSERVE_DELAY_NANOS;
        if (mFencingNumber.isPresent() || mayTryAcquire(now)) {
            mLease.handle(new LeaseEvent.Tick(), now).ifPresent(this::performLeaseAction);
        }
        recordHolding(mLease.heldFencingNumber(now));
        if (mFencingNumber.isPresent()) {
            List<VersionRollout.Action> actions =
                    mRollout.plan(desired, engines, mGateway::openRequestsAt, now);
            mBroadcast.publish(mRollout.state(now));
            actions.forEach(this::execute);
        }
        mLoop.schedule(this::tick, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void observeLease(long now) {
        if (mObserveDue
                && now - mObserveAt >= 0
                && mGateway.isReady()
                && LeaseAcquisitionOrder.shouldObserve(position())) {
            mObserveDue = false;
            handleLeaseEvent(new LeaseEvent.Observe());
        }
    }

    private boolean mayTryAcquire(long now) {
        return LeaseAcquisitionOrder.shouldTryAcquire(
                position(), now - mNeededSince, mBroadcast.nanosSinceHolderMessage());
    }

    private int position() {
        return LeaseAcquisitionOrder.position(mSelf, mGateway.instanceRegistry().readyPeers());
    }

    private void recordHolding(Optional<FencingNumber> held) {
        if (held.equals(mFencingNumber)) {
            return;
        }
        mGateway.log()
                .record(
                        held.isPresent() ? GatewayEvent.LEASE_HELD : GatewayEvent.LEASE_LOST,
                        "lease",
                        LEASE_KEY,
                        "fence",
                        held.or(() -> mFencingNumber).orElseThrow());
        mFencingNumber = held;
    }

    private void execute(VersionRollout.Action action) {
        if (action instanceof VersionRollout.Action.Order order) {
            sendOrder(order);
            return;
        }
        mControl.report(action.engine())
                .subscribe(
                        r -> mRollout.onStatus(action.engine(), r, mGateway.now()),
                        e -> onActionFailed(action, e));
    }

    private void sendOrder(VersionRollout.Action.Order order) {
        mGateway.log()
                .record(
                        GatewayEvent.ORDER_SENT,
                        "upstream",
                        order.engine().id(),
                        "model",
                        order.model(),
                        "version",
                        order.version(),
                        "fence",
                        mFencingNumber.orElseThrow());
        mControl.order(order, mSelf, mFencingNumber.get())
                .subscribe(a -> onOrderResult(order, a), e -> onActionFailed(order, e));
    }

    private void onOrderResult(
            VersionRollout.Action.Order order, EngineControl.OrderResult result) {
        mGateway.log()
                .record(
                        GatewayEvent.ORDER_ANSWERED,
                        "upstream",
                        order.engine().id(),
                        "version",
                        order.version(),
                        "answer",
                        result);
        mRollout.onOrderAnswered(order.engine(), mGateway.now());
    }

    private void onActionFailed(VersionRollout.Action action, Throwable reason) {
        mGateway.log()
                .record(
                        GatewayEvent.ORDER_FAILED,
                        "upstream",
                        action.engine().id(),
                        "reason",
                        reason);
        mRollout.onActionFailed(action.engine(), mGateway.now());
    }

    private void performLeaseAction(LeaseAction action) {
        String key = LEASE_KEY + "/" + action.era();
        if (action instanceof LeaseAction.WriteRow write) {
            mStore.writeIf(LEASE_TABLE, key, write.expectedVersion(), encode(write.row()))
                    .subscribe(
                            p -> handleLeaseEvent(new LeaseEvent.RowWritten(p.era(), p.version())),
                            this::writeFailed);
            return;
        }
        mStore.readRow(LEASE_TABLE, key)
                .map(rows -> new LeaseEvent.RowRead(rows.position().era(), toStoredLease(rows)))
                .subscribe(this::handleLeaseEvent, this::readFailed);
    }

    private void readFailed(Throwable failure) {
        mGateway.log().record(GatewayEvent.STORE_READ_FAILED, "row", LEASE_KEY, "reason", failure);
        handleLeaseEvent(new LeaseEvent.StoreFailed());
    }

    private void writeFailed(Throwable failure) {
        boolean conflict =
                failure instanceof CatkinException e && e.code() == ErrorCode.STORE_CONFLICT;
        mGateway.log().record(GatewayEvent.STORE_WRITE_FAILED, "row", LEASE_KEY, "reason", failure);
        handleLeaseEvent(conflict ? new LeaseEvent.WriteConflict() : new LeaseEvent.StoreFailed());
    }

    private void handleLeaseEvent(LeaseEvent event) {
        mLease.handle(event, mGateway.now()).ifPresent(this::performLeaseAction);
    }

    private Optional<StoredLease> toStoredLease(TableStore.Rows rows) {
        return rows.rows().stream()
                .filter(r -> r.content().isPresent())
                .findFirst()
                .map(r -> new StoredLease(r.version(), decode(r.content().get())));
    }

    private byte[] encode(LeaseRow row) {
        return mJson.createObjectNode()
                .put("holder", row.holder().value())
                .put("session", row.session())
                .put("number", row.fencingNumber().value())
                .put("beat", row.writeNumber())
                .toString()
                .getBytes(StandardCharsets.UTF_8);
    }

    private LeaseRow decode(byte[] content) {
        try {
            JsonNode row = mJson.readTree(content);
            return new LeaseRow(
                    InstanceId.named(row.path("holder").asText()),
                    row.path("session").asText(),
                    FencingNumber.of(row.path("number").asLong()),
                    row.path("beat").asLong());
        } catch (IOException e) {
            throw new IllegalStateException("lease row is malformed", e);
        }
    }
}
