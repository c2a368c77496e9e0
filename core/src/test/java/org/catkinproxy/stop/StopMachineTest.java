package org.catkinproxy.stop;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.BeforeTry;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

final class StopMachineTest {
    private static final StopSettings SETTINGS = new StopSettings(100, 50, 30);
    private static final int STEPS = 300;

    private StopMachine mMachine;

    /** One instance of the class serves all tries of a property. */
    @BeforeTry
    void setUp() {
        mMachine = new StopMachine(SETTINGS);
    }

    @Example
    void servesUntilEveryAnswerThatNamedItHasExpired() {
        assertThat(mMachine.on(new StopEvent.StopAsked(), 0)).containsExactly(StopAction.ANNOUNCE);
        assertThat(mMachine.state().isNamed()).isFalse();
        assertThat(tick(2, 149)).isEmpty();
        assertThat(mMachine.state().isAccepting()).isTrue();
        assertThat(tick(2, 150)).containsExactly(StopAction.REFUSE);
        assertThat(tick(1, 900)).isEmpty();
        assertThat(tick(0, 901)).containsExactly(StopAction.HAND_OVER);
        assertThat(mMachine.on(new StopEvent.HandedOver(), 902)).containsExactly(StopAction.LEAVE);
    }

    @Example
    void countOfBeforeTheRefusalDoesNotEndTheStop() {
        mMachine.on(new StopEvent.StopAsked(), 0);
        assertThat(tick(0, 150)).containsExactly(StopAction.REFUSE);
        assertThat(tick(1, 151)).isEmpty();
    }

    @Example
    void waitsShorterOnceAllPeersKnow() {
        mMachine.on(new StopEvent.StopAsked(), 0);
        mMachine.on(new StopEvent.PeersKnow(), 10);
        mMachine.on(new StopEvent.PeersKnow(), 40);
        assertThat(tick(0, 109)).isEmpty();
        assertThat(tick(0, 110)).containsExactly(StopAction.REFUSE);
    }

    @Example
    void handOverThatNobodyTakesDoesNotHoldTheProcess() {
        mMachine.on(new StopEvent.StopAsked(), 0);
        tick(0, 150);
        tick(0, 151);
        assertThat(tick(0, 180)).isEmpty();
        assertThat(tick(0, 181)).containsExactly(StopAction.LEAVE);
    }

    @Example
    void operatorMayEndStopAtOnce() {
        tick(1, 0);
        mMachine.on(new StopEvent.StopAsked(), 1);
        assertThat(mMachine.on(new StopEvent.EndAsked(), 2)).containsExactly(StopAction.LEAVE);
        assertThat(mMachine.on(new StopEvent.EndAsked(), 3)).isEmpty();
    }

    /** The naive version looks back over the whole history at each step. */
    @Property(seed = "1", tries = 500)
    void neverCutsRequestAndNeverIsNamed(@ForAll long seed) {
        Random random = new Random(seed);
        List<Long> stops = new ArrayList<>();
        List<Long> peersKnow = new ArrayList<>();
        int open = 0;
        long now = 0;
        for (int i = 0; i < STEPS; i++) {
            now += random.nextInt(6);
            open += mMachine.state().isAccepting() ? random.nextInt(2) : 0;
            open -= open > 0 ? random.nextInt(2) : 0;
            StopEvent event = draw(random, open);
            boolean counted = event instanceof StopEvent.Tick;
            if (event instanceof StopEvent.StopAsked) {
                stops.add(now);
            } else if (event instanceof StopEvent.PeersKnow && !stops.isEmpty()) {
                peersKnow.add(now);
            }
            boolean wasAccepting = mMachine.state().isAccepting();
            List<StopAction> actions = mMachine.on(event, now);
            assertThat(mMachine.state().isNamed()).isEqualTo(stops.isEmpty());
            if (counted || !wasAccepting) {
                assertThat(mMachine.state().isAccepting())
                        .isEqualTo(naiveAccepting(stops, peersKnow, now));
            }
            if (actions.contains(StopAction.LEAVE) || actions.contains(StopAction.HAND_OVER)) {
                assertThat(open).isEqualTo(0);
            }
        }
    }

    private List<StopAction> tick(int openRequests, long now) {
        return mMachine.on(new StopEvent.Tick(openRequests), now);
    }

    private static StopEvent draw(Random random, int open) {
        return switch (random.nextInt(20)) {
            case 0 -> random.nextInt(4) == 0 ? new StopEvent.StopAsked() : new StopEvent.Tick(open);
            case 1 -> new StopEvent.PeersKnow();
            case 2 -> new StopEvent.HandedOver();
            default -> new StopEvent.Tick(open);
        };
    }

    private static boolean naiveAccepting(List<Long> stops, List<Long> peersKnow, long now) {
        if (stops.isEmpty()) {
            return true;
        }
        long until = stops.get(0) + SETTINGS.spreadMillis() + SETTINGS.entriesTtlMillis();
        if (!peersKnow.isEmpty()) {
            until = Math.min(until, peersKnow.get(0) + SETTINGS.entriesTtlMillis());
        }
        return now < until;
    }
}
