package org.catkinproxy.route;

import static com.google.common.truth.Truth.assertWithMessage;

import net.jqwik.api.Example;

import org.catkinproxy.id.EngineId;

import java.util.List;

/** Fleets so large that a prompt is weighed against a part of the engines only. */
class LargeFleetTest {
    private static final int ENGINES = 64;
    private static final int PREFIXES = 8;

    private final Scene mScene = new Scene(RoutingPolicy.HIT_FIRST, 100);

    @Example
    void everyPromptFindsTheLastEngineThatIsLeft() {
        for (int i = 0; i < ENGINES; i++) {
            mScene.reported("e" + i, "1", 0);
        }
        for (int i = 1; i < ENGINES; i++) {
            mScene.tell(new RouteEvent.Unavailable(Scene.engine("e" + i)));
        }
        assertAllReach(Scene.engine("e0"));
    }

    @Example
    void everyPromptFindsTheOnlyEngineThatStillReports() {
        for (int i = 0; i < ENGINES; i++) {
            mScene.reported("e" + i, "1", 0);
        }
        mScene.mNow += 4 * Scene.SECOND;
        mScene.reported("e0", "1", 0);
        assertAllReach(Scene.engine("e0"));
    }

    private void assertAllReach(EngineId engine) {
        for (int prefix = 0; prefix < PREFIXES; prefix++) {
            RouteRequest request = mScene.request(prefix, 2);
            List<RouteAction> actions = mScene.arrive(request);
            assertWithMessage("actions for prefix " + prefix).that(actions).hasSize(1);
            assertWithMessage("engine for prefix " + prefix)
                    .that(Scene.target(actions))
                    .isEqualTo(engine);
            mScene.tell(
                    new RouteEvent.Finished(request.id(), engine, RouteEvent.AttemptEnd.COMPLETE));
        }
    }
}
