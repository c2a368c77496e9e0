package org.catkinproxy.caller;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.http.ErrorBody;
import org.catkinproxy.http.HttpListener;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.relay.ResponseSink;
import org.catkinproxy.stream.ResumeToken;
import org.catkinproxy.stream.ResumeTokenCodec;

import io.jooby.Context;
import io.jooby.Sender;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Streams a completion to the caller token by token, as server-sent events.
 *
 * <p>The id of each event is a resume token. {@code [DONE]} is sent only after a complete response.
 * A caller that does not read is treated as disconnected once too many writes are pending. The
 * sink's methods are called by one thread at a time; write callbacks may run on any thread.
 */
final class StreamingResponseSink implements ResponseSink {
    /** The maximum number of pending writes to a slow caller, which can resume the stream later. */
    private static final int MAX_PENDING_WRITES = 4_096;

    private static final byte[] HEARTBEAT = ": ping\n\n".getBytes(UTF_8);
    private static final byte[] DONE_EVENT = "data: [DONE]\n\n".getBytes(UTF_8);

    private final Context mContext;
    private final CompletionContext mCompletion;
    private final ResumeTokenCodec mTokenCodec;
    private final Duration mHeartbeatInterval;
    private final Runnable mOnDisconnect;
    private final AtomicInteger mPendingWrites = new AtomicInteger();
    private final AtomicBoolean mClosed = new AtomicBoolean();
    private Disposable mHeartbeats = Disposable.disposed();
    private Sender mSender;
    private ResumeToken mResumePosition;
    private int mCachedTokens;

    StreamingResponseSink(
            Context context,
            CompletionContext completion,
            ResumeTokenCodec tokenCodec,
            Duration heartbeatInterval,
            Runnable onDisconnect) {
        mContext = context;
        mCompletion = completion;
        mTokenCodec = tokenCodec;
        mHeartbeatInterval = heartbeatInterval;
        mOnDisconnect = onDisconnect;
    }

    @Override
    public void begin(EngineId engine, Incarnation incarnation, int cachedTokens) {
        mResumePosition =
                new ResumeToken(
                        mCompletion.workspace(),
                        mCompletion.request(),
                        engine,
                        incarnation,
                        mCompletion.weights(),
                        mCompletion.bodyDigest(),
                        0);
        if (mSender != null) {
            return;
        }
        mCachedTokens = cachedTokens;
        CompletionHeaders.set(mContext, mCompletion.request(), engine, cachedTokens);
        mContext.setResponseHeader("Content-Type", "text/event-stream");
        mContext.setResponseHeader("Cache-Control", "no-cache");
        mSender = mContext.responseSender();
        mHeartbeats =
                Flowable.interval(mHeartbeatInterval.toMillis(), TimeUnit.MILLISECONDS)
                        .onBackpressureDrop()
                        .subscribe(tick -> write(HEARTBEAT));
    }

    @Override
    public void deliver(long sequence, String text) {
        ObjectNode chunk = mCompletion.newChunk();
        ObjectNode choice = CompletionContext.addChoice(chunk, null);
        mCompletion.completion().shape().putDelta(choice, text);
        writeEvent(sequence, chunk);
    }

    @Override
    public void complete(long tokenCount, String finishReason) {
        ObjectNode lastChunk = mCompletion.newChunk();
        mCompletion
                .completion()
                .shape()
                .putEmptyDelta(CompletionContext.addChoice(lastChunk, finishReason));
        writeEvent(tokenCount, lastChunk);
        if (mCompletion.completion().includeUsage()) {
            ObjectNode usageChunk = mCompletion.newChunk();
            usageChunk.putArray("choices");
            mCompletion.addUsage(usageChunk, tokenCount, mCachedTokens);
            writeEvent(tokenCount, usageChunk);
        }
        mHeartbeats.dispose();
        write(DONE_EVENT);
        mSender.close();
    }

    @Override
    public void fail(CatkinException error) {
        mHeartbeats.dispose();
        if (mSender == null) {
            HttpListener.sendError(mContext, error);
            return;
        }
        write(("data: " + ErrorBody.toJson(error) + "\n\n").getBytes(UTF_8));
        mSender.close();
    }

    @Override
    public void abandon() {
        mClosed.set(true);
        mHeartbeats.dispose();
    }

    private void writeEvent(long sequence, ObjectNode chunk) {
        String id = mTokenCodec.encode(mResumePosition.withSequence(sequence));
        write(("id: " + id + "\ndata: " + chunk + "\n\n").getBytes(UTF_8));
    }

    private void write(byte[] bytes) {
        if (mClosed.get()) {
            return;
        }
        if (mPendingWrites.incrementAndGet() > MAX_PENDING_WRITES) {
            onDisconnected();
            return;
        }
        mSender.write(
                bytes,
                (ctx, failure) -> {
                    mPendingWrites.decrementAndGet();
                    if (failure != null) {
                        onDisconnected();
                    }
                });
    }

    private void onDisconnected() {
        if (mClosed.compareAndSet(false, true)) {
            mHeartbeats.dispose();
            mOnDisconnect.run();
        }
    }
}
