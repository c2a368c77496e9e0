package org.catkinproxy.bench;

import org.catkinproxy.route.DispatchSettings;
import org.catkinproxy.route.Dispatcher;

import java.util.List;
import java.util.Random;

/** The ways of routing that are compared. Immutable. */
enum Contender {
    RANDOM("random") {
        @Override
        Decider create(Deployment deployment, List<FakeEngine> engines, long seed) {
            return new BaselineDecider(new Random(seed), BaselineRule.RANDOM);
        }
    },
    ROUND_ROBIN("round robin") {
        @Override
        Decider create(Deployment deployment, List<FakeEngine> engines, long seed) {
            return new BaselineDecider(new Random(seed), BaselineRule.ROUND_ROBIN);
        }
    },
    LEAST_LOAD("least load") {
        @Override
        Decider create(Deployment deployment, List<FakeEngine> engines, long seed) {
            return new BaselineDecider(new Random(seed), BaselineRule.LEAST_LOAD);
        }
    },
    PREFIX_HASH("prefix hash") {
        @Override
        Decider create(Deployment deployment, List<FakeEngine> engines, long seed) {
            return new BaselineDecider(new Random(seed), BaselineRule.PREFIX_HASH);
        }
    },
    CATKIN("catkinproxy") {
        @Override
        Decider create(Deployment deployment, List<FakeEngine> engines, long seed) {
            DispatchSettings settings = new DispatchSettings(deployment.policy(), MAX_QUEUED);
            Dispatcher dispatcher = Dispatcher.create(settings);
            return new DispatcherDecider(dispatcher);
        }
    },
    ORACLE("oracle") {
        @Override
        Decider create(Deployment deployment, List<FakeEngine> engines, long seed) {
            return new OracleDecider(engines);
        }
    };

    private static final int MAX_QUEUED = 1_000;

    private final String mTitle;

    Contender(String title) {
        mTitle = title;
    }

    String title() {
        return mTitle;
    }

    /** Returns the decisions of one router that knows nothing yet. */
    abstract Decider create(Deployment deployment, List<FakeEngine> engines, long seed);
}
