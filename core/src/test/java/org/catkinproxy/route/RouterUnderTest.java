package org.catkinproxy.route;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.Weights;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A dispatcher, or one that is made to break a rule by being told something else. */
final class RouterUnderTest {
    final Dispatcher mDispatcher;
    private final Fault mFault;
    private final Map<EngineId, EngineReport> mReports = new LinkedHashMap<>();

    /** The rule that is broken. */
    enum Fault {
        NONE("nothing"),
        IGNORES_EXCLUSION("unfit engine"),
        FORGETS_WITHDRAWALS("queued"),
        IGNORES_UNAVAILABLE("unfit engine"),
        IGNORES_AVAILABLE("idle"),
        IGNORES_SILENCE("unfit engine"),
        IGNORES_POOLS("unfit engine"),
        IGNORES_WEIGHTS("unfit engine"),
        IGNORES_RESTARTS("another incarnation"),
        IGNORES_DEADLINES("past its deadline"),
        IGNORES_ENDS("in flight"),
        ANSWERS_TWICE("but not waiting"),
        LOSES_ANSWERS("queued");

        /** What the check says that has to catch it. */
        final String mCaughtAs;

        Fault(String caughtAs) {
            mCaughtAs = caughtAs;
        }
    }

    RouterUnderTest(Fault fault, int maxQueued) {
        mFault = fault;
        mDispatcher = Dispatcher.create(new DispatchSettings(RoutingPolicy.HIT_FIRST, maxQueued));
    }

    List<RouteAction> handle(long now, RouteEvent event) {
        List<RouteAction> actions = new ArrayList<>();
        if (event instanceof RouteEvent.Reported reported) {
            mReports.put(reported.report().engine(), reported.report());
        } else if (mFault == Fault.IGNORES_SILENCE) {
            for (EngineReport report : mReports.values()) {
                mDispatcher.handle(now, new RouteEvent.Reported(report));
            }
        }
        if (!isSwallowed(event)) {
            actions.addAll(mDispatcher.handle(now, changed(event)));
        }
        if (mFault == Fault.ANSWERS_TWICE) {
            actions.addAll(List.copyOf(actions));
        } else if (mFault == Fault.LOSES_ANSWERS) {
            actions.removeIf(RouteAction.Refuse.class::isInstance);
        }
        return actions;
    }

    private boolean isSwallowed(RouteEvent event) {
        return switch (mFault) {
            case FORGETS_WITHDRAWALS -> event instanceof RouteEvent.Withdrawn;
            case IGNORES_UNAVAILABLE -> event instanceof RouteEvent.Unavailable;
            case IGNORES_AVAILABLE -> event instanceof RouteEvent.Available;
            case IGNORES_ENDS -> event instanceof RouteEvent.Finished;
            default -> false;
        };
    }

    private RouteEvent changed(RouteEvent event) {
        if (event instanceof RouteEvent.Arrived arrived) {
            return changed(arrived);
        } else if (event instanceof RouteEvent.Reported reported) {
            EngineReport report = reported.report();
            if (mFault == Fault.IGNORES_WEIGHTS) {
                Set<Weights> all =
                        Set.of(Weights.of("m", "base", "v1"), Weights.of("m", "base", "v2"));
                return new RouteEvent.Reported(copy(report, report.incarnation(), all));
            } else if (mFault == Fault.IGNORES_RESTARTS) {
                Incarnation first = Incarnation.of("start0");
                return new RouteEvent.Reported(copy(report, first, report.weights()));
            }
        }
        return event;
    }

    private RouteEvent changed(RouteEvent.Arrived arrived) {
        RouteRequest request = arrived.request();
        return switch (mFault) {
            case IGNORES_EXCLUSION -> new RouteEvent.Arrived(request, List.of());
            case IGNORES_POOLS ->
                    new RouteEvent.Arrived(
                            copy(request, new PoolId("p"), request.deadlineNanos()),
                            arrived.excluded());
            case IGNORES_DEADLINES ->
                    new RouteEvent.Arrived(
                            copy(
                                    request,
                                    request.pool(),
                                    request.deadlineNanos() + 60 * Scene.SECOND),
                            arrived.excluded());
            default -> arrived;
        };
    }

    private static RouteRequest copy(RouteRequest request, PoolId pool, long deadline) {
        return new RouteRequest(
                request.id(),
                request.workspace(),
                request.weights(),
                pool,
                request.priority(),
                request.blocks(),
                request.maxTokens(),
                deadline);
    }

    private static EngineReport copy(
            EngineReport report, Incarnation incarnation, Set<Weights> weights) {
        return new EngineReport(
                report.engine(),
                incarnation,
                report.pool(),
                weights,
                report.slots(),
                report.running(),
                report.queued(),
                report.queuedTokens(),
                report.prefillTokensPerSecond(),
                report.decodeTokensPerSecond(),
                report.cacheBlocks(),
                report.ageMillis());
    }
}
