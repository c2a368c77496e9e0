package org.catkinproxy.daemon;

import org.catkinproxy.admin.StopView;
import org.catkinproxy.dispatch.DispatchTask;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.member.InstanceKind;
import org.catkinproxy.member.MemberState;
import org.catkinproxy.membership.MembershipTask;
import org.catkinproxy.operator.StopAdmin;
import org.catkinproxy.route.EngineReport;
import org.catkinproxy.route.RouteEvent;
import org.catkinproxy.stop.UpstreamDrain;
import org.catkinproxy.upstream.EngineFleet;
import org.catkinproxy.upstream.SeenReport;

import io.reactivex.rxjava3.core.Single;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Begins planned stops by making an instance leave; membership tells all others, and the instance
 * itself if it is an entry.
 *
 * <p>Asked again, it tells how far the stop has come. Safe for use by any thread.
 */
final class MembershipStops implements StopAdmin {
    private static final String LEAVING = "leaving";
    private static final String LEFT = "left";

    /** The longest time in which all daemons learn that an instance leaves. */
    private static final Duration SPREAD = Duration.ofSeconds(3);

    private final MembershipTask mMembership;
    private final EngineFleet mEngines;
    private final DispatchTask mDispatch;
    private final Map<InstanceId, UpstreamDrain> mStops = new ConcurrentHashMap<>();

    MembershipStops(MembershipTask membership, EngineFleet engines, DispatchTask dispatch) {
        mMembership = membership;
        mEngines = engines;
        mDispatch = dispatch;
    }

    @Override
    public Single<StopView> stop(InstanceId instance, String operator) {
        return Single.defer(
                () -> {
                    Optional<MemberState> state = mMembership.view().find(instance);
                    if (state.isEmpty()) {
                        return Single.error(unknown(instance));
                    }
                    mMembership.stopAsked(instance);
                    return state.get().info().kind() == InstanceKind.ENTRY
                            ? Single.just(entry(state.get()))
                            : mDispatch.inFlight().map(inFlight -> upstream(instance, inFlight));
                });
    }

    private static StopView entry(MemberState state) {
        boolean left = state.leaving() && !state.reachable();
        return new StopView(state.info().id().value(), left ? LEFT : LEAVING, 0);
    }

    private StopView upstream(InstanceId instance, Map<EngineId, RouteEvent.InFlight> inFlight) {
        long now = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        mStops.keySet().removeIf(i -> mMembership.view().find(i).isEmpty());
        UpstreamDrain stop =
                mStops.computeIfAbsent(instance, i -> new UpstreamDrain(now, SPREAD.toMillis()));
        EngineId engine = EngineId.of(instance.value());
        int own = inFlight.getOrDefault(engine, new RouteEvent.InFlight(0, 0)).requests();
        Optional<SeenReport> seen = mEngines.lastReport(engine);
        int running = seen.map(s -> s.report().running() + s.report().queued()).orElse(0);
        // Requests of peers are in the engine's own report once the spread is over.
        boolean drained =
                seen.isPresent() && stop.isDrained(now, own, 0, running, madeMillis(seen.get()));
        return new StopView(instance.value(), drained ? LEFT : LEAVING, Math.max(own, running));
    }

    private static long madeMillis(SeenReport seen) {
        EngineReport report = seen.report();
        return TimeUnit.NANOSECONDS.toMillis(seen.seenNanos()) - report.ageMillis();
    }

    private static CatkinException unknown(InstanceId instance) {
        return CatkinException.notRun(
                ErrorCode.NOT_FOUND,
                Step.STOP,
                CatkinException.NO_PEER,
                "there is no instance " + instance);
    }
}
