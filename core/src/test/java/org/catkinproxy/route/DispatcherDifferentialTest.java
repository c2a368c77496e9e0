package org.catkinproxy.route;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.route.RouterUnderTest.Fault;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** The whole dispatcher against a naive model of what it may do, under random events. */
class DispatcherDifferentialTest {
    private static final int STEPS = 400;

    @Property(seed = "20261204", tries = 1_000)
    void dispatcherKeepsItsInvariants(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 12) int maxQueued) {
        assertThat(firstFault(seed, maxQueued, Fault.NONE)).isEmpty();
    }

    /** Shows that each part of the check above can fail, on seeds that pass otherwise. */
    @Example
    void everyBrokenRuleIsCaught() {
        for (Fault fault : EnumSet.complementOf(EnumSet.of(Fault.NONE))) {
            int caught = 0;
            for (int seed = 0; seed < 20; seed++) {
                assertThat(firstFault(seed, 8, Fault.NONE)).isEmpty();
                caught += firstFault(seed, 8, fault).contains(fault.mCaughtAs) ? 1 : 0;
            }
            assertWithMessage("runs in which it was caught: " + fault)
                    .that(caught)
                    .isGreaterThan(0);
        }
    }

    /** Shows that the random events reach each answer that the dispatcher has. */
    @Example
    void randomEventsReachEveryAnswer() {
        TreeMap<String, Integer> reached = new TreeMap<>();
        for (int seed = 0; seed < 100; seed++) {
            run(seed, 4, Fault.NONE, reached);
        }
        assertThat(reached.keySet())
                .containsAtLeast(
                        "Dispatch", "Resync", "NO_ENGINE", "QUEUE_FULL", "DEADLINE_UNREACHABLE");
    }

    private static String firstFault(long seed, int maxQueued, Fault fault) {
        return run(seed, maxQueued, fault, new TreeMap<>());
    }

    /** Returns what is wrong first, empty if nothing is. */
    private static String run(long seed, int maxQueued, Fault fault, Map<String, Integer> reached) {
        RouteAudit audit = new RouteAudit(maxQueued);
        RandomRouteEvents events = new RandomRouteEvents(new Random(seed), audit);
        RouterUnderTest router = new RouterUnderTest(fault, maxQueued);
        long now = 1_000 * Scene.SECOND;
        for (int step = 0; step < STEPS; step++) {
            now += events.pauseNanos();
            RouteEvent event = events.next(now);
            String wrong = tell(router, audit, now, event, reached);
            if (!wrong.isEmpty()) {
                return "step " + step + ", " + event + ": " + wrong;
            }
        }
        String wrong = tell(router, audit, now + 60 * Scene.SECOND, new RouteEvent.Tick(), reached);
        if (!wrong.isEmpty() || !audit.mWaiting.isEmpty()) {
            return "unanswered: " + audit.mWaiting.keySet() + wrong;
        }
        for (RequestId request : new ArrayList<>(audit.mInFlight.keySet())) {
            EngineId engine = audit.mInFlight.get(request);
            RouteEvent end = RandomRouteEvents.finished(request, engine);
            wrong += tell(router, audit, now + 61 * Scene.SECOND, end, reached);
        }
        Map<EngineId, RouteEvent.InFlight> left = router.mDispatcher.inFlight();
        if (!wrong.isEmpty() || !left.isEmpty()) {
            return "in flight after the end: " + left + wrong;
        }
        return faultWhenIdle(router, events, audit, now + 62 * Scene.SECOND);
    }

    /** Whatever came before, an idle fleet takes a request at once. */
    private static String faultWhenIdle(
            RouterUnderTest router, RandomRouteEvents events, RouteAudit audit, long now) {
        Map<String, Integer> reached = new TreeMap<>();
        for (RouteEvent event : events.allIdle()) {
            String wrong = tell(router, audit, now, event, reached);
            if (!wrong.isEmpty()) {
                return wrong;
            }
        }
        RouteRequest request = events.request(now + 5 * Scene.SECOND);
        RouteEvent arrival = new RouteEvent.Arrived(request, List.of());
        String wrong = tell(router, audit, now, arrival, reached);
        return reached.containsKey("Dispatch") ? wrong : "engines idle, but " + reached + wrong;
    }

    private static String tell(
            RouterUnderTest router,
            RouteAudit audit,
            long now,
            RouteEvent event,
            Map<String, Integer> reached) {
        List<RouteAction> actions;
        try {
            actions = router.handle(now, event);
        } catch (RuntimeException e) {
            return "threw " + e;
        }
        for (RouteAction action : actions) {
            String name =
                    action instanceof RouteAction.Refuse refuse
                            ? refuse.code().name()
                            : action.getClass().getSimpleName();
            reached.merge(name, 1, Integer::sum);
        }
        List<String> faults = audit.check(now, event, actions);
        if (!faults.isEmpty()) {
            return faults.get(0);
        }
        if (router.mDispatcher.queued() != audit.mWaiting.size()) {
            return "queued " + router.mDispatcher.queued() + " for " + audit.mWaiting.keySet();
        }
        Map<EngineId, Integer> counts = new TreeMap<>();
        router.mDispatcher.inFlight().forEach((id, load) -> counts.put(id, load.requests()));
        return counts.equals(audit.requestsByEngine())
                ? ""
                : "in flight " + counts + " for " + audit.requestsByEngine();
    }
}
