package org.catkinproxy.bench;

import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.route.RouteRequest;

/** One request at one fake engine. Owned by the event loop. */
final class Job implements Comparable<Job> {
    final RouteRequest mRequest;
    final int mOutputTokens;
    final long mOrder;
    final Listener mListener;
    int mCachedBlocks;
    int mRemainingTokens;
    boolean mBegun;
    boolean mCancelled;

    /** Hears how a job fares. */
    interface Listener {
        /** The engine began to compute, with so many tokens cached. */
        void started(int cachedTokens);

        /** The first token was made. */
        void firstToken();

        /** The job is over; {@code complete} is false if the engine died. */
        void ended(boolean complete);
    }

    Job(RouteRequest request, int outputTokens, long order, Listener listener) {
        mRequest = request;
        mOutputTokens = outputTokens;
        mOrder = order;
        mListener = listener;
        mRemainingTokens = request.blocks().promptTokens();
    }

    void begin(int cachedBlocks) {
        mBegun = true;
        mCachedBlocks = cachedBlocks;
        mRemainingTokens -= cachedBlocks * PromptBlocks.TOKENS_PER_BLOCK;
    }

    /** The place in the prompt of the block being computed. */
    int computedBlocks() {
        int done = mRequest.blocks().promptTokens() - mRemainingTokens;
        return done / PromptBlocks.TOKENS_PER_BLOCK;
    }

    @Override
    public int compareTo(Job other) {
        int byPriority = mRequest.priority().compareTo(other.mRequest.priority());
        return byPriority != 0 ? byPriority : Long.compare(mOrder, other.mOrder);
    }
}
