package org.catkinproxy.bench;

import org.catkinproxy.config.Priority;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.Weights;
import org.catkinproxy.route.RoutingPolicy;

import java.util.ArrayList;
import java.util.List;

/** The deployments that are measured, at their sizes of today. Immutable. */
enum Deployment {
    ASSOCIATION(
            RoutingPolicy.HIT_FIRST,
            8,
            new double[] {60_000, 50_000, 40_000, 30_000, 20_000, 15_000},
            320,
            new PromptShape(2, 20, 4, 6, 2, 0, 0.3, 20),
            new double[] {0.60, 0.30, 0.10},
            new long[] {2, 6, 8},
            100),
    VAKTLAG(
            RoutingPolicy.TAIL_FIRST,
            6,
            new double[] {
                60_000, 55_000, 50_000, 45_000, 40_000, 36_000, 32_000, 28_000, 25_000, 22_000,
                20_000, 17_000, 15_000
            },
            300,
            new PromptShape(1, 4, 6, 6, 6, 1, 0.75, 30),
            new double[] {0.50, 0.35, 0.15},
            new long[] {2, 4, 6},
            170);

    static final PoolId POOL = new PoolId("engines");
    static final Weights WEIGHTS = Weights.of("model", "base", "v1");
    static final double[] WORKSPACE_SHARES = {0.33, 0.25, 0.14, 0.08, 0.07, 0.06, 0.04, 0.03};

    private static final int SLOTS = 48;
    private static final double DECODE_TOKENS_PER_SECOND = 100;

    private final RoutingPolicy mPolicy;
    private final int mRouters;
    private final double[] mPrefillSpeeds;
    private final int mCacheBlocks;
    private final PromptShape mShape;
    private final double[] mKindShares;
    private final long[] mDeadlineSeconds;
    private final double mCapacity;

    Deployment(
            RoutingPolicy policy,
            int routers,
            double[] prefillSpeeds,
            int cacheBlocks,
            PromptShape shape,
            double[] kindShares,
            long[] deadlineSeconds,
            double capacity) {
        mPolicy = policy;
        mRouters = routers;
        mPrefillSpeeds = prefillSpeeds;
        mCacheBlocks = cacheBlocks;
        mShape = shape;
        mKindShares = kindShares;
        mDeadlineSeconds = deadlineSeconds;
        mCapacity = capacity;
    }

    RoutingPolicy policy() {
        return mPolicy;
    }

    int routers() {
        return mRouters;
    }

    PromptShape shape() {
        return mShape;
    }

    /** Returns the shares of long, short and urgent requests. */
    double[] kindShares() {
        return mKindShares.clone();
    }

    long deadlineNanos(Priority priority) {
        return mDeadlineSeconds[priority.ordinal()] * EventLoop.SECOND;
    }

    /** Returns the calls a second up to which the oracle keeps its p95 below one second. */
    double capacity() {
        return mCapacity;
    }

    List<EngineSpec> engines() {
        List<EngineSpec> specs = new ArrayList<>();
        for (double speed : mPrefillSpeeds) {
            specs.add(new EngineSpec(speed, DECODE_TOKENS_PER_SECOND, SLOTS, mCacheBlocks));
        }
        return specs;
    }
}
