package org.catkinproxy.standin.engine;

import org.catkinproxy.standin.Tokens;

import java.time.Duration;

/**
 * One generation: what was generated so far, for any number of readers, now or later.
 *
 * <p>It outlives its connection, so that it can be resumed. Safe for use by any thread; all state
 * is under its own lock, and readers are woken by every change.
 */
final class Generation {
    private final GenerateRequest mRequest;
    private final Tokens mTokens;
    private final int mLength;
    private int mCachedTokens = -1;
    private int mPrefillLeft;
    private int mLast;
    private boolean mEnded;
    private boolean mCancelled;
    private int mReaders;
    private long mUnreadSinceNanos = System.nanoTime();

    Generation(GenerateRequest request) {
        mRequest = request;
        mTokens = request.tokens();
        mLength = Math.max(request.delivered(), mTokens.length(request.maxTokens()));
        mLast = request.delivered();
        mPrefillLeft = request.promptTokens();
    }

    GenerateRequest request() {
        return mRequest;
    }

    /** Returns the last token's number, if nothing cuts the generation short. */
    int length() {
        return mLength;
    }

    String finish() {
        return mLength == mTokens.naturalLength() ? "stop" : "length";
    }

    String token(int n) {
        return mTokens.token(n);
    }

    synchronized void start(int cachedTokens) {
        mCachedTokens = cachedTokens;
        mPrefillLeft = Math.max(0, mRequest.promptTokens() - cachedTokens);
        notifyAll();
    }

    synchronized int cachedTokens() {
        return mCachedTokens;
    }

    synchronized void prefilled(int tokens) {
        mPrefillLeft = Math.max(0, mPrefillLeft - tokens);
    }

    synchronized int prefillLeft() {
        return mPrefillLeft;
    }

    /** Adds one token and tells whether there are more to come. */
    synchronized boolean emit() {
        if (mLast < mLength) {
            mLast++;
        }
        mEnded = mLast >= mLength;
        notifyAll();
        return !mEnded;
    }

    synchronized void cancel() {
        mCancelled = true;
        notifyAll();
    }

    synchronized boolean isCancelled() {
        return mCancelled;
    }

    synchronized boolean isEnded() {
        return mEnded || mCancelled;
    }

    synchronized void attach() {
        mReaders++;
    }

    synchronized void detach() {
        mReaders--;
        mUnreadSinceNanos = System.nanoTime();
    }

    synchronized boolean isUnreadFor(Duration time) {
        return mReaders == 0 && System.nanoTime() - mUnreadSinceNanos > time.toNanos();
    }

    /** Waits until there is more than a reader has seen, at most {@code millis} milliseconds. */
    synchronized View await(boolean started, int sequence, long millis)
            throws InterruptedException {
        if (!isNews(started, sequence)) {
            wait(millis);
        }
        return new View(mCachedTokens >= 0, mLast, mEnded, mCancelled);
    }

    private boolean isNews(boolean started, int sequence) {
        return mCancelled
                || (mCachedTokens >= 0 && !started)
                || mLast > sequence
                || (mEnded && mLast <= sequence);
    }

    /** What a reader sees at one moment. */
    record View(boolean started, int last, boolean ended, boolean cancelled) {}
}
