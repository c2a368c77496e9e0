package org.catkinproxy.route;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

import org.catkinproxy.id.EngineId;

/** Engines that come, go, come back and are forgotten. */
class EngineLifeTest {
    private static final EngineId ENGINE = Scene.engine("a");
    private static final long FORGOTTEN = 601 * Scene.SECOND;

    private final Scene mScene = new Scene(RoutingPolicy.HIT_FIRST, 4);

    @Example
    void engineSaidToBeAvailableAgainGetsWhatWaited() {
        mScene.reported("a", "a1", 0);
        mScene.tell(new RouteEvent.Unavailable(ENGINE));
        assertThat(mScene.arrive(mScene.request(1, 1))).isEmpty();

        mScene.tell(new RouteEvent.Available(ENGINE));
        assertThat(Scene.target(mScene.tell(new RouteEvent.Tick()))).isEqualTo(ENGINE);
    }

    @Example
    void reportOfTheSameStartDoesNotMakeAnUnavailableEngineAvailable() {
        mScene.reported("a", "a1", 0);
        mScene.tell(new RouteEvent.Unavailable(ENGINE));
        mScene.reported("a", "a1", 0);
        assertThat(mScene.arrive(mScene.request(1, 1))).isEmpty();

        mScene.reported("a", "a2", 0);
        assertThat(Scene.target(mScene.tell(new RouteEvent.Tick()))).isEqualTo(ENGINE);
    }

    @Example
    void silentEngineGetsWorkOnceItReportsAgain() {
        mScene.reported("a", "a1", 0);
        mScene.mNow += 3 * Scene.SECOND;
        assertThat(Scene.target(mScene.arrive(mScene.request(1, 1)))).isEqualTo(ENGINE);
        mScene.mNow += 1;
        assertThat(mScene.arrive(mScene.request(1, 1))).isEmpty();

        mScene.reported("a", "a1", 0);
        assertThat(Scene.target(mScene.tell(new RouteEvent.Tick()))).isEqualTo(ENGINE);
    }

    @Example
    void engineIsForgottenOnlyAfterTenMinutesOfSilence() {
        mScene.reported("a", "a1", 0);
        mScene.tell(new RouteEvent.Unavailable(ENGINE));
        mScene.mNow += FORGOTTEN - Scene.SECOND;
        mScene.tell(new RouteEvent.Tick());
        mScene.reported("a", "a1", 0);
        assertThat(mScene.arrive(mScene.request(1, 1))).isEmpty();

        mScene.mNow += FORGOTTEN;
        mScene.tell(new RouteEvent.Tick());
        mScene.reported("a", "a1", 0);
        assertThat(Scene.target(mScene.arrive(mScene.request(1, 1)))).isEqualTo(ENGINE);
    }

    @Example
    void engineWithWorkIsNotForgotten() {
        mScene.reported("a", "a1", 0);
        mScene.arrive(mScene.request(1, 1));
        mScene.mNow += FORGOTTEN;
        mScene.tell(new RouteEvent.Tick());
        assertThat(mScene.mDispatcher.inFlight().keySet()).containsExactly(ENGINE);
    }

    @Example
    void requestMayBeWithdrawnAfterItsEngineBeganAnewAndWasForgotten() {
        RouteRequest request = sentToEngineThatIsForgotten();
        assertThat(mScene.tell(new RouteEvent.Withdrawn(request.id()))).isEmpty();
    }

    @Example
    void requestMayComeBackAfterItsEngineBeganAnewAndWasForgotten() {
        RouteRequest request = sentToEngineThatIsForgotten();
        mScene.reported("b", "b1", 0);
        RouteRequest again = mScene.request(1, 1);
        RouteRequest back =
                new RouteRequest(
                        request.id(),
                        again.workspace(),
                        again.weights(),
                        again.pool(),
                        again.priority(),
                        again.blocks(),
                        again.maxTokens(),
                        again.deadlineNanos());
        assertThat(Scene.target(mScene.arrive(back, ENGINE))).isEqualTo(Scene.engine("b"));
    }

    private RouteRequest sentToEngineThatIsForgotten() {
        mScene.reported("a", "a1", 0);
        RouteRequest request = mScene.request(1, 1);
        assertThat(Scene.target(mScene.arrive(request))).isEqualTo(ENGINE);
        mScene.reported("a", "a2", 0);
        mScene.mNow += FORGOTTEN;
        mScene.tell(new RouteEvent.Tick());
        return request;
    }
}
