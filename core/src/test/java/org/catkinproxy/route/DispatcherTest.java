package org.catkinproxy.route;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

import org.catkinproxy.config.Priority;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.id.BlockKey;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;

import java.util.List;
import java.util.Map;

final class DispatcherTest {
    private final Scene mScene = new Scene(RoutingPolicy.HIT_FIRST, 4);

    @Example
    void sendsToTheEngineThatHoldsThePrefix() {
        mScene.reported("a", "a1", 0);
        mScene.reported("b", "b1", 0);
        mScene.stored("a", "a1", 1, Scene.blocks(1, 10));
        mScene.stored("b", "b1", 1, Scene.blocks(2, 10));

        assertThat(Scene.target(mScene.arrive(mScene.request(1, 10)))).isEqualTo(engine("a"));
        assertThat(Scene.target(mScene.arrive(mScene.request(2, 10)))).isEqualTo(engine("b"));
    }

    @Example
    void forgetsTheCacheOfAnEarlierIncarnation() {
        mScene.reported("a", "a1", 0);
        mScene.stored("a", "a1", 1, Scene.blocks(1, 10));
        mScene.reported("a", "a2", 0);
        mScene.stored("a", "a1", 2, Scene.blocks(1, 10));
        mScene.reported("a", "a1", 0);

        RouteAction.Dispatch sent =
                (RouteAction.Dispatch) mScene.arrive(mScene.request(1, 10)).get(0);
        assertThat(sent.expectedCachedTokens()).isEqualTo(0);
        assertThat(sent.incarnation()).isEqualTo(Incarnation.of("a2"));
    }

    @Example
    void asksForSnapshotAfterGapAndKeepsLaterEvents() {
        mScene.reported("a", "a1", 0);
        List<BlockKey> keys = Scene.blocks(1, 3);
        mScene.stored("a", "a1", 1, keys.subList(0, 1));
        List<RouteAction> actions = mScene.stored("a", "a1", 3, keys.subList(2, 3));

        assertThat(actions)
                .containsExactly(new RouteAction.Resync(engine("a"), Incarnation.of("a1")));
        mScene.tell(
                new RouteEvent.CacheSnapshot(
                        engine("a"), Incarnation.of("a1"), 2, keys.subList(0, 2)));
        Explanation explanation = mScene.mDispatcher.explain(mScene.mNow, mScene.request(1, 3));
        assertThat(explanation.candidates().get(0).cachedTokens()).isEqualTo(3 * 1_024);
    }

    @Example
    void routersThatKnowNothingAgree() {
        Scene other = new Scene(RoutingPolicy.HIT_FIRST, 4);
        for (String id : List.of("a", "b", "c", "d")) {
            mScene.reported(id, "1", 0);
            other.reported(id, "1", 0);
        }
        for (int prefix = 0; prefix < 8; prefix++) {
            EngineId first = mScene.arriveAndFinish(mScene.request(prefix, 2));
            assertThat(other.arriveAndFinish(other.request(prefix, 2))).isEqualTo(first);
        }
    }

    @Example
    void leavesHotEngineOnceWaitingCostsMore() {
        mScene.reported("a", "a1", 200_000);
        mScene.reported("b", "b1", 0);
        mScene.stored("a", "a1", 1, Scene.blocks(1, 10));

        assertThat(Scene.target(mScene.arrive(mScene.request(1, 10)))).isEqualTo(engine("b"));
    }

    @Example
    void sendsNothingToExcludedOrUnavailableOrSilentEngines() {
        mScene.reported("a", "a1", 0);
        mScene.reported("b", "b1", 0);
        mScene.tell(new RouteEvent.Unavailable(engine("a")));
        mScene.reported("a", "a1", 0);
        assertThat(mScene.arrive(mScene.request(1, 1), engine("b"))).isEmpty();
        assertThat(Scene.target(mScene.arrive(mScene.request(1, 1)))).isEqualTo(engine("b"));

        mScene.reported("a", "a2", 0);
        mScene.mNow += 2 * Scene.SECOND;
        mScene.reported("a", "a2", 0);
        mScene.mNow += 2 * Scene.SECOND;
        assertThat(Scene.target(mScene.arrive(mScene.request(1, 1)))).isEqualTo(engine("a"));
    }

    @Example
    void refusesWhatCanNotMakeItsDeadline() {
        mScene.reported("a", "a1", 30 * Scene.SPEED);

        assertThat(refusal(mScene.arrive(mScene.request(1, 1))))
                .isEqualTo(ErrorCode.DEADLINE_UNREACHABLE);
    }

    @Example
    void givesUpTheLeastUrgentWhenTheQueueIsFull() {
        mScene.reported("a", "a1", 10 * Scene.SPEED);
        RouteRequest draft = mScene.request(1, 1, Priority.DRAFT, "w");
        assertThat(mScene.arrive(draft)).isEmpty();
        for (int i = 0; i < 3; i++) {
            assertThat(mScene.arrive(mScene.request(1, 1))).isEmpty();
        }
        List<RouteAction> actions = mScene.arrive(mScene.request(1, 1));
        assertThat(((RouteAction.Refuse) actions.get(0)).request()).isEqualTo(draft.id());
        assertThat(refusal(actions)).isEqualTo(ErrorCode.QUEUE_FULL);
    }

    @Example
    void refusesWhenNoEngineAppears() {
        RouteRequest request = mScene.request(1, 1);
        assertThat(mScene.arrive(request)).isEmpty();
        mScene.mNow += 3 * Scene.SECOND;
        assertThat(refusal(mScene.tell(new RouteEvent.Tick()))).isEqualTo(ErrorCode.NO_ENGINE);
    }

    @Example
    void countsWhatIsInFlightUntilItEnds() {
        mScene.reported("a", "a1", 0);
        RouteRequest request = mScene.request(1, 2);
        mScene.arrive(request);
        int tokens = request.blocks().promptTokens();
        assertThat(mScene.mDispatcher.inFlight())
                .isEqualTo(Map.of(engine("a"), new RouteEvent.InFlight(1, tokens)));
        mScene.tell(new RouteEvent.FirstToken(request.id(), engine("a")));
        assertThat(mScene.mDispatcher.inFlight())
                .isEqualTo(Map.of(engine("a"), new RouteEvent.InFlight(1, 0)));
        mScene.tell(
                new RouteEvent.Finished(request.id(), engine("a"), RouteEvent.AttemptEnd.COMPLETE));
        assertThat(mScene.mDispatcher.inFlight()).isEmpty();
    }

    private static EngineId engine(String id) {
        return Scene.engine(id);
    }

    private static ErrorCode refusal(List<RouteAction> actions) {
        return ((RouteAction.Refuse) actions.get(0)).code();
    }
}
