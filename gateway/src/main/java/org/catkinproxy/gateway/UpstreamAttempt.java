package org.catkinproxy.gateway;

import org.catkinproxy.serving.CallKind;
import org.catkinproxy.serving.RetryPolicy;
import org.catkinproxy.serving.RunCopy;
import org.catkinproxy.serving.SendFailure;
import org.catkinproxy.serving.StallPolicy;
import org.catkinproxy.serving.Upstream;
import org.catkinproxy.serving.UpstreamChooser;
import org.catkinproxy.serving.UpstreamObstacle;
import org.catkinproxy.serving.UpstreamState;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;

import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * One attempt to run a request on one upstream, up to the end of the response.
 *
 * <p>Handles the connection and the response; {@link AttemptAccounting} records what they show of
 * the upstream. A full response is buffered until it is complete; of an event stream, complete
 * events are passed on. The listener is not called after {@link #close}. Used by the event loop
 * only.
 */
final class UpstreamAttempt implements ResponseListener, UpstreamConnectionPool.AcquireListener {
    /** Maximum size of a full response; a longer one fails the attempt. */
    private static final int MAX_BODY_BYTES = 8 * 1024 * 1024;

    /** Extension of the stall timeout of an attempt for which the budget allows no retry. */
    private static final long STALL_EXTENSION_NANOS = 300_000_000L;

    /** Receives the progress and the outcome of an attempt. */
    interface Listener {
        /** Called when the request was written to a connection. */
        void onSent();

        /** Called with complete events of a stream, which the listener releases. */
        void onEvents(UpstreamAttempt attempt, ByteBuf events);

        /** Called when the body of a stream has ended. */
        void onStreamEnd(UpstreamAttempt attempt);

        /** Called when a full response has arrived; {@link #takeBody} returns its body. */
        void onFullResponse(UpstreamAttempt attempt);

        /** Called when the attempt will not yield a response that can be forwarded. */
        void onAttemptFailed(UpstreamAttempt attempt, SendFailure failure, String reason);
    }

    /**
     * How a request is sent.
     *
     * @param lastEventId the id of the last event that was delivered, empty for a new stream
     * @param resumesFrom the memory of the run with which the engine goes on, empty for a new run
     * @param keepsBackup whether a backup engine receives the run's KV cache as it grows
     * @param excludedConnections the connections that must not carry the request
     */
    record SendOptions(
            OptionalLong lastEventId,
            Optional<RunCopy> resumesFrom,
            boolean keepsBackup,
            Set<UpstreamConnection> excludedConnections) {}

    /**
     * Which connection carried the request, for the log.
     *
     * @param connection the number of the connection, 0 if the request was not sent
     * @param earlierRequests how many requests the connection had carried before
     */
    record ConnectionUse(long connection, int earlierRequests) {
        static final ConnectionUse NONE = new ConnectionUse(0, 0);
    }

    private final Gateway mGateway;
    private final AdmittedRequest mRequest;
    private final Optional<UpstreamChooser.PlacementRequest> mPlacementRequest;
    private final UpstreamChooser.Choice mChoice;
    private final SendOptions mOptions;
    private final ServerSentEventSplitter mEventSplitter;
    private final Listener mListener;
    private final long mDeadline;
    private final long mSendDeadline;
    private final AttemptAccounting mAccounting;
    private long mStallExtendedUntil;
    private boolean mPaused;
    private UpstreamConnection mConnection;
    private ConnectionUse mConnectionUse = ConnectionUse.NONE;
    private Optional<UpstreamConnection> mSentOn = Optional.empty();
    private boolean mClosed;
    private HttpResponse mResponse;
    private ResponseHead mResponseHead;
    private BodyBuffer mBody;

    /**
     * Creates an attempt, which {@link #start} starts.
     *
     * @param deadline the deadline of the request, in ns of the monotonic clock
     * @param sendDeadline when the caller gives up unless its response has begun by then, in ns of
     *     the monotonic clock
     */
    UpstreamAttempt(
            Gateway gateway,
            AdmittedRequest request,
            Optional<UpstreamChooser.PlacementRequest> placementRequest,
            UpstreamChooser.Choice choice,
            SendOptions options,
            ServerSentEventSplitter eventSplitter,
            long deadline,
            long sendDeadline,
            Listener listener) {
        mGateway = gateway;
        mRequest = request;
        mPlacementRequest = placementRequest;
        mChoice = choice;
        mOptions = options;
        mEventSplitter = eventSplitter;
        mDeadline = deadline;
        mSendDeadline = sendDeadline;
        mListener = listener;
        mAccounting =
                new AttemptAccounting(
                        gateway,
                        request,
                        placementRequest,
                        choice,
                        options.lastEventId().isEmpty());
        mStallExtendedUntil = mAccounting.startedAt();
    }

    /** Acquires a connection and sends the request. */
    void start() {
        mAccounting.recordStart();
        mGateway.connectionPool().acquire(upstream(), mOptions.excludedConnections(), this);
    }

    Upstream upstream() {
        return upstreamState().upstream();
    }

    UpstreamState upstreamState() {
        return mChoice.target();
    }

    /** Returns the engine that receives a backup of the run's KV cache, empty for none. */
    Optional<Upstream> backup() {
        return mChoice.backup().filter(b -> mOptions.keepsBackup());
    }

    /** Returns what the attempt has recorded of the upstream so far. */
    AttemptAccounting accounting() {
        return mAccounting;
    }

    int weightsVersion() {
        return mAccounting.weightsVersion();
    }

    long startedAt() {
        return mAccounting.startedAt();
    }

    long lastActivityAt() {
        return mAccounting.lastActivityAt();
    }

    /** Returns whether any byte of the request may have been sent. */
    boolean isSent() {
        return mAccounting.isSent();
    }

    /** Returns the connection that carried the request, which may be closed. */
    Optional<UpstreamConnection> sentOn() {
        return mSentOn;
    }

    /** Returns which connection carried the request. */
    ConnectionUse connectionUse() {
        return mConnectionUse;
    }

    /** Returns the head of the response; valid once it has arrived. */
    HttpResponse response() {
        return mResponse;
    }

    /** Returns the fields of the head that the gateway reads; valid once it has arrived. */
    ResponseHead responseHead() {
        return mResponseHead;
    }

    /** Returns the body of a full response and passes its ownership to the caller. */
    ByteBuf takeBody() {
        ByteBuf body = mBody.bytes();
        mBody = null;
        return body;
    }

    /** Resumes or pauses reading from the upstream; a pause is no silence of the upstream. */
    void setAutoRead(boolean autoRead) {
        mPaused = !autoRead;
        mStallExtendedUntil = Math.max(mStallExtendedUntil, mGateway.now() + STALL_EXTENSION_NANOS);
        if (mConnection != null) {
            mConnection.setAutoRead(autoRead);
        }
    }

    /** Returns whether reading from the upstream is paused, as the caller reads slowly. */
    boolean isPaused() {
        return mPaused;
    }

    @Override
    public void onAcquired(UpstreamConnection connection) {
        if (mClosed) {
            mGateway.connectionPool().release(connection);
            return;
        }
        if (!RetryPolicy.hasTimeLeft(mRequest.route(), mSendDeadline - mGateway.now())) {
            mGateway.connectionPool().release(connection);
            mListener.onAttemptFailed(
                    this, SendFailure.EXPIRED, "too little time left when connected");
            return;
        }
        Optional<UpstreamObstacle> obstacle =
                mGateway.eligibility().obstacleToCountedRequest(upstreamState(), mGateway.now());
        if (obstacle.isPresent()) {
            mGateway.connectionPool().release(connection);
            mListener.onAttemptFailed(
                    this,
                    SendFailure.NOT_ACCEPTING,
                    obstacle.get().reason() + " since the request was placed");
            return;
        }
        mConnection = connection;
        mSentOn = Optional.of(connection);
        mConnectionUse = new ConnectionUse(connection.number(), connection.requestCount());
        mAccounting.recordSent();
        connection.send(
                mRequest.head().id(),
                mRequest.method(),
                mRequest.uri(),
                headers(),
                mRequest.body(),
                this);
        mListener.onSent();
    }

    private HttpHeaders headers() {
        long remainingMillis = TimeUnit.NANOSECONDS.toMillis(mDeadline - mGateway.now());
        UpstreamRequestMetadata metadata =
                new UpstreamRequestMetadata(
                        upstream(),
                        Math.max(1, remainingMillis),
                        mRequest.access().map(a -> a.workspace().value()),
                        mPlacementRequest.isPresent()
                                ? OptionalInt.of(mRequest.priority())
                                : OptionalInt.empty(),
                        mOptions.lastEventId(),
                        mPlacementRequest.map(this::engineMetadata));
        return mGateway.headerCodec().writeRequest(mRequest.headers(), metadata);
    }

    /** The cache scope is that of the newest configuration, which may be newer than the choice. */
    private UpstreamRequestMetadata.EngineMetadata engineMetadata(
            UpstreamChooser.PlacementRequest placementRequest) {
        String cacheScope = mRequest.cacheScope(mGateway.cacheScopes());
        return new UpstreamRequestMetadata.EngineMetadata(
                placementRequest.withCacheScope(cacheScope).cacheScope(weightsVersion()),
                weightsVersion(),
                mChoice.fetchFrom(),
                mChoice.saveTo(),
                backup(),
                mOptions.resumesFrom());
    }

    @Override
    public void onAcquireFailed(String reason) {
        if (!mClosed) {
            mListener.onAttemptFailed(this, SendFailure.NOT_CONNECTED, reason);
        }
    }

    @Override
    public void onHead(HttpResponse response, ResponseHead head) {
        mAccounting.recordActivity();
        mResponse = response;
        mResponseHead = head;
        head.weightsVersion().ifPresent(mAccounting::recordWeightsVersion);
        recordNotices(head);
        mGateway.limitGuard().onResponse(upstream(), head.requestLimit());
        if (!isEventStream()) {
            mBody = BodyBuffer.pooled(MAX_BODY_BYTES);
        } else if (!head.isIdentified() || head.contentEncoded()) {
            mListener.onAttemptFailed(
                    this,
                    SendFailure.GARBLED,
                    "event stream has a content encoding or lacks the signature or request id");
        }
    }

    /** Records what the upstream says of requests that it wants from now on. */
    private void recordNotices(ResponseHead head) {
        if (head.leaving()) {
            mGateway.upstreamTracker().onLeaving(upstreamState());
        }
        if (mResponse.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
            head.retryAfter()
                    .ifPresent(r -> mGateway.upstreamTracker().onPause(upstreamState(), r));
        }
    }

    private boolean isEventStream() {
        return mRequest.route().kind() == CallKind.STREAM
                && mResponse.status().equals(HttpResponseStatus.OK);
    }

    @Override
    public void onContent(ByteBuf content) {
        if (mClosed) {
            content.release();
            return;
        }
        if (mBody != null) {
            mAccounting.recordActivity();
            appendBody(content);
        } else {
            splitEvents(content);
        }
    }

    private void appendBody(ByteBuf content) {
        boolean appended = mBody.append(content);
        content.release();
        if (appended) {
            mGateway.recordBufferedBytes(this, mBody.capacity());
        } else {
            mListener.onAttemptFailed(
                    this, SendFailure.GARBLED, "response body is too large or has too many pieces");
        }
    }

    /** Passes on what is complete first, so that the stream resumes after what was delivered. */
    private void splitEvents(ByteBuf content) {
        ServerSentEventSplitter.Split split = mEventSplitter.split(content);
        passOnEvents(split.events());
        if (!mClosed) {
            mGateway.recordBufferedBytes(this, mEventSplitter.partialEventBytes());
        }
        if (!mClosed) {
            split.fault().ifPresent(f -> mListener.onAttemptFailed(this, SendFailure.GARBLED, f));
        }
    }

    private void passOnEvents(ByteBuf events) {
        if (!events.isReadable()) {
            events.release();
            return;
        }
        mAccounting.recordEvents();
        mListener.onEvents(this, events);
    }

    /** Records that the engine has survived the prompt. */
    void recordPromptProven() {
        mAccounting.recordPromptProven();
    }

    /** Returns whether the engine may still crash on the prompt. */
    boolean isPromptSuspect() {
        return mAccounting.isPromptSuspect();
    }

    /** Records the first output of a valid response. */
    void recordFirstOutput() {
        mAccounting.recordFirstOutput();
    }

    /** Records the speed of a stream that has ended. */
    void recordGeneration(boolean isComplete) {
        mAccounting.recordGeneration(isComplete);
    }

    /** Fails the attempt because all buffered responses together need too much memory. */
    void onBufferBudgetExceeded() {
        mListener.onAttemptFailed(
                this, SendFailure.GARBLED, "buffered responses exceed the memory limit");
    }

    @Override
    public void onEnd() {
        if (mClosed) {
            return;
        }
        mConnection = null;
        if (mBody == null) {
            mListener.onStreamEnd(this);
        } else {
            mListener.onFullResponse(this);
        }
    }

    @Override
    public void onFailure(SendFailure failure, String reason) {
        if (!mClosed) {
            mConnection = null;
            mListener.onAttemptFailed(this, failure, reason);
        }
    }

    /** Extends the stall timeout of a stalled attempt. */
    void extendStallTimeout(long now) {
        mStallExtendedUntil = now + STALL_EXTENSION_NANOS;
    }

    /**
     * Returns when the attempt counts as stalled, in ns of the monotonic clock.
     *
     * @param hasBegun whether the first event of a stream has arrived
     */
    long stalledAt(boolean hasBegun) {
        boolean isActive =
                upstreamState().isActive(mGateway.now(), StallPolicy.activityWindowNanos());
        long stalledAt =
                StallPolicy.stalledAt(
                        mRequest.route(), startedAt(), lastActivityAt(), hasBegun, isActive);
        return Math.max(mStallExtendedUntil, stalledAt);
    }

    /** Ends the attempt and cancels its request if it is still open. */
    void close() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mGateway.recordBufferedBytes(this, 0);
        mAccounting.close();
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
        if (mConnection != null) {
            mConnection.cancel();
            mConnection = null;
        }
    }
}
