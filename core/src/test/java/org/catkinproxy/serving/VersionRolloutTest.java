package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.ModelId;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Rollouts against engines that are slow to say what they have. */
class VersionRolloutTest {
    private static final Map<ModelId, Integer> WANTED = Map.of(Samples.MODEL, 2);

    private final VersionRollout mRollout = VersionRollout.create();

    private final Map<InstanceId, Integer> mOpen = new HashMap<>();

    private List<VersionRollout.Step> plan(
            Map<ModelId, Integer> wanted, Collection<Upstream> engines, long now) {
        return mRollout.plan(wanted, engines, e -> mOpen.getOrDefault(e.id(), 0), now);
    }

    private static VersionRollout.EngineReport report(int version, boolean busy, long orders) {
        return new VersionRollout.EngineReport(Map.of(Samples.MODEL, version), busy, orders);
    }

    @Example
    void asksOrdersAndWatchesFewEnginesAtOnce() {
        List<Upstream> engines = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            engines.add(Samples.engine("e" + i, 1));
        }
        List<VersionRollout.Step> asks = plan(WANTED, engines, 0);
        assertThat(asks).hasSize(3);
        assertThat(plan(WANTED, engines, 1)).isEmpty();

        Upstream first = asks.get(0).engine();
        mRollout.reported(first, report(1, false, 7), 10);
        List<VersionRollout.Step> orders = plan(WANTED, engines, 10);
        assertThat(orders)
                .containsExactly(new VersionRollout.Step.Order(first, Samples.MODEL, 2, 7));

        mRollout.reported(first, report(2, false, 8), 20);
        List<VersionRollout.Step> next = plan(WANTED, engines, 20);
        assertThat(next).hasSize(1);
        assertThat(next.get(0).engine()).isNotEqualTo(first);
    }

    /** Versions that follow each other under load: answers are not made on two of them. */
    @Example
    void engineChangesOnceItsRequestsHaveEnded() {
        Upstream engine = Samples.engine("e", 1);
        mOpen.put(engine.id(), 3);
        plan(WANTED, List.of(engine), 0);
        mRollout.reported(engine, report(1, false, 7), 10);

        assertThat(plan(WANTED, List.of(engine), 100 * Samples.MILLI)).isEmpty();
        assertThat(mRollout.state(100 * Samples.MILLI).changing()).containsExactly(engine.id());

        mOpen.clear();
        assertThat(plan(WANTED, List.of(engine), 200 * Samples.MILLI))
                .containsExactly(new VersionRollout.Step.Order(engine, Samples.MODEL, 2, 7));
    }

    @Example
    void longRequestsDoNotHoldTheWeightsBackForLong() {
        Upstream engine = Samples.engine("e", 1);
        mOpen.put(engine.id(), 3);
        plan(WANTED, List.of(engine), 0);
        mRollout.reported(engine, report(1, false, 7), 10);

        assertThat(plan(WANTED, List.of(engine), Samples.SECOND))
                .containsExactly(new VersionRollout.Step.Order(engine, Samples.MODEL, 2, 7));
    }

    @Example
    void anEngineThatHasTheWeightsIsNotAskedAgainWhileTheListLags() {
        List<Upstream> engines = List.of(Samples.engine("e", 1));
        plan(WANTED, engines, 0);
        mRollout.reported(engines.get(0), report(2, false, 1), 10);

        assertThat(mRollout.isBehind(engines.get(0), WANTED)).isFalse();
        assertThat(plan(WANTED, engines, 5 * Samples.SECOND)).isEmpty();
    }

    @Example
    void aRestartUnderTheSameIdIsAskedAnew() {
        Upstream before = Samples.engine("e", 1);
        plan(WANTED, List.of(before), 0);
        mRollout.reported(before, report(2, false, 1), 10);
        Upstream after = Samples.upstream("e", "2", false, Map.of(Samples.MODEL, 1));

        assertThat(plan(WANTED, List.of(after), 20))
                .containsExactly(new VersionRollout.Step.Ask(after));
    }

    @Example
    void enginesWithTheOldestWeightsGoFirst() {
        List<Upstream> engines = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            engines.add(Samples.engine("e" + i, i < 3 ? 2 : 1));
        }
        List<String> asked =
                plan(Map.of(Samples.MODEL, 3), engines, 0).stream()
                        .map(s -> s.engine().id().value())
                        .toList();
        assertThat(asked).containsAtLeast("e3", "e4");
    }

    @Example
    void anOrderWhoseAnswerIsLostIsSettledByAsking() {
        Upstream engine = Samples.engine("e", 1);
        List<Upstream> engines = List.of(engine);
        plan(WANTED, engines, 0);
        mRollout.reported(engine, report(1, false, 4), 10);
        plan(WANTED, engines, 10);
        mRollout.failed(engine, 700 * Samples.MILLI);

        assertThat(plan(WANTED, engines, Samples.SECOND))
                .containsExactly(new VersionRollout.Step.Ask(engine));
    }

    @Example
    void everyEngineGetsTheWeightsThoughOneNeverAnswers() {
        Map<InstanceId, Integer> has = new HashMap<>();
        for (int i = 0; i < 9; i++) {
            has.put(InstanceId.of("e" + i), 1);
        }
        InstanceId silent = InstanceId.of("e0");
        for (long now = 0; now < 20 * Samples.SECOND; now += 50 * Samples.MILLI) {
            List<Upstream> engines =
                    has.entrySet().stream()
                            .map(e -> Samples.engine(e.getKey().value(), e.getValue()))
                            .toList();
            for (VersionRollout.Step step : plan(WANTED, engines, now)) {
                InstanceId id = step.engine().id();
                if (id.equals(silent)) {
                    mRollout.failed(step.engine(), now);
                } else if (step instanceof VersionRollout.Step.Order) {
                    has.put(id, 2);
                    mRollout.ordered(step.engine(), now);
                } else {
                    mRollout.reported(step.engine(), report(has.get(id), false, 0), now);
                }
            }
        }
        has.remove(silent);
        assertThat(has.values()).containsExactly(2, 2, 2, 2, 2, 2, 2, 2);
    }
}
