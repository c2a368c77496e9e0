package org.catkinproxy.relay;

import org.catkinproxy.dispatch.DispatchTask;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;
import org.catkinproxy.route.RouteAction;
import org.catkinproxy.route.RouteEvent;
import org.catkinproxy.stream.ConnectionFailure;
import org.catkinproxy.stream.ResumeToken;
import org.catkinproxy.stream.StreamAction;
import org.catkinproxy.stream.StreamEvent;
import org.catkinproxy.stream.StreamStateMachine;
import org.catkinproxy.task.Mailbox;
import org.catkinproxy.upstream.EngineClient;
import org.catkinproxy.upstream.EngineEndpoint;
import org.catkinproxy.upstream.EngineFleet;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.disposables.SerialDisposable;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Relays one response: owns its state machine and its connection to an engine.
 *
 * <p>All mutable state is confined to the mailbox's worker. {@link #onCallerDisconnected} may be
 * called by any thread. The task is in the set of tasks in progress from its start until it ends,
 * which happens once.
 */
public final class RelayTask {
    private final RelayRequest mRequest;
    private final ResponseSink mSink;
    private final DispatchTask mDispatch;
    private final EngineFleet mFleet;
    private final EngineClient mClient;
    private final RelayTimings mTimings;
    private final Set<RelayTask> mInProgress;
    private final StreamStateMachine mStateMachine;
    private final SerialDisposable mConnection = new SerialDisposable();
    private final Mailbox<Supplier<List<StreamAction>>> mMailbox;
    private boolean mEnded;

    private RelayTask(
            RelayRequest request,
            ResponseSink sink,
            DispatchTask dispatch,
            EngineFleet fleet,
            EngineClient client,
            Scheduler scheduler,
            RelayTimings timings,
            Set<RelayTask> inProgress) {
        mRequest = request;
        mSink = sink;
        mDispatch = dispatch;
        mFleet = fleet;
        mClient = client;
        mTimings = timings;
        mInProgress = inProgress;
        mStateMachine = newStateMachine(request);
        mMailbox =
                Mailbox.open(
                        scheduler,
                        step -> step.get().forEach(this::perform),
                        e -> EventLog.log(LogEvent.TASK_FAILED, "relay " + requestId(), e));
    }

    static RelayTask create(
            RelayRequest request,
            ResponseSink sink,
            DispatchTask dispatch,
            EngineFleet fleet,
            EngineClient client,
            Scheduler scheduler,
            RelayTimings timings,
            Set<RelayTask> inProgress) {
        return new RelayTask(
                request, sink, dispatch, fleet, client, scheduler, timings, inProgress);
    }

    /** Starts the relay. Must be called once. */
    public void start() {
        mInProgress.add(this);
        mMailbox.post(this::firstActions);
    }

    /** Cancels the request because its caller has disconnected. */
    public void onCallerDisconnected() {
        mMailbox.post(
                () -> {
                    List<StreamAction> actions =
                            mStateMachine.handle(new StreamEvent.CallerDisconnected());
                    mDispatch.cancel(requestId());
                    actions.forEach(this::perform);
                    removeFromInProgress();
                    return List.of();
                });
    }

    /** Ends the task without notifying the caller or the engine. */
    void abandon() {
        mMailbox.post(
                () -> {
                    mConnection.set(Disposable.disposed());
                    mSink.abandon();
                    removeFromInProgress();
                    return List.of();
                });
    }

    private void post(StreamEvent event) {
        mMailbox.post(() -> mStateMachine.handle(event));
    }

    private static StreamStateMachine newStateMachine(RelayRequest request) {
        RequestId id = request.generateRequest().request();
        int promptTokens = request.generateRequest().blocks().promptTokens();
        Optional<ResumeToken> resume = request.resumeToken();
        if (resume.isEmpty()) {
            return StreamStateMachine.create(id, request.generateRequest().weights(), promptTokens);
        }
        return StreamStateMachine.createResumed(
                id, request.generateRequest().weights(), promptTokens, resume.get().sequence());
    }

    private List<StreamAction> firstActions() {
        return mRequest.resumeToken()
                .map(r -> mStateMachine.resumeAt(r.engine(), r.incarnation()))
                .orElseGet(mStateMachine::start);
    }

    private void perform(StreamAction action) {
        if (action instanceof StreamAction.Route route) {
            mDispatch.route(mRequest.routeRequest(), route.excluded(), this::onRouted);
        } else if (action instanceof StreamAction.Open open) {
            connect(open.connectionId(), open.engine(), e -> open(e, open));
        } else if (action instanceof StreamAction.Resume resume) {
            EventLog.log(
                    LogEvent.STREAM_CONTINUED,
                    requestId(),
                    resume.afterSequence(),
                    resume.engine(),
                    "resumed");
            connect(resume.connectionId(), resume.engine(), e -> resume(e, resume));
        } else if (action instanceof StreamAction.Close) {
            mConnection.set(Disposable.disposed());
        } else if (action instanceof StreamAction.Cancel cancel) {
            mFleet.endpoint(cancel.engine()).ifPresent(this::cancel);
        } else if (action instanceof StreamAction.Release release) {
            release(release);
        } else if (action instanceof StreamAction.Begin begin) {
            mDispatch.postEvent(
                    new RouteEvent.AttemptStarted(
                            requestId(), begin.engine(), begin.cachedTokens()));
            mTimings.onBegin(begin.engine(), begin.cachedTokens());
            mSink.begin(begin.engine(), begin.incarnation(), begin.cachedTokens());
        } else if (action instanceof StreamAction.Deliver deliver) {
            deliver(deliver);
        } else if (action instanceof StreamAction.Complete complete) {
            removeFromInProgress();
            mTimings.onComplete(complete.tokenCount());
            mSink.complete(complete.tokenCount(), complete.finishReason());
        } else if (action instanceof StreamAction.Fail fail) {
            EventLog.log(
                    LogEvent.STREAM_BROKEN,
                    requestId(),
                    mStateMachine.deliveredCount(),
                    fail.error());
            mDispatch.cancel(requestId());
            removeFromInProgress();
            mTimings.onFail(fail.error());
            mSink.fail(fail.error());
        }
    }

    private void onRouted(RouteAction action) {
        if (action instanceof RouteAction.Dispatch dispatch) {
            post(new StreamEvent.Routed(dispatch.engine()));
        } else if (action instanceof RouteAction.Refuse refuse) {
            post(new StreamEvent.RouteRefused(refuse.code()));
        }
    }

    private void connect(
            int connectionId,
            EngineId engine,
            Function<EngineEndpoint, Flowable<StreamEvent>> request) {
        Optional<EngineEndpoint> endpoint = mFleet.endpoint(engine);
        if (endpoint.isEmpty()) {
            post(new StreamEvent.ConnectionFailed(connectionId, ConnectionFailure.NOT_CONNECTED));
            return;
        }
        mConnection.set(
                request.apply(endpoint.get())
                        .subscribe(
                                this::post,
                                e ->
                                        post(
                                                new StreamEvent.ConnectionFailed(
                                                        connectionId, ConnectionFailure.BROKEN))));
    }

    private Flowable<StreamEvent> open(EngineEndpoint endpoint, StreamAction.Open open) {
        return mClient.generate(
                endpoint, mRequest.generateRequest(), open.connectionId(), open.deliveredTokens());
    }

    private Flowable<StreamEvent> resume(EngineEndpoint endpoint, StreamAction.Resume resume) {
        return mClient.resume(endpoint, requestId(), resume.connectionId(), resume.afterSequence());
    }

    private void cancel(EngineEndpoint endpoint) {
        // If the cancellation is lost, the engine drops the generation by itself a little later.
        Disposable unused = mClient.cancel(endpoint, requestId()).subscribe(() -> {}, e -> {});
    }

    private void release(StreamAction.Release release) {
        RouteEvent.AttemptOutcome outcome =
                release.complete()
                        ? RouteEvent.AttemptOutcome.COMPLETE
                        : RouteEvent.AttemptOutcome.FAILED;
        mDispatch.postEvent(new RouteEvent.AttemptFinished(requestId(), release.engine(), outcome));
        if (!release.reachable()) {
            mFleet.suspect(release.engine());
        }
    }

    private void deliver(StreamAction.Deliver deliver) {
        if (deliver.sequence() == 1) {
            mTimings.onFirstToken();
            mDispatch.postEvent(new RouteEvent.FirstTokenReceived(requestId(), deliver.engine()));
        }
        mSink.deliver(deliver.sequence(), deliver.text());
    }

    private void removeFromInProgress() {
        if (!mEnded) {
            mEnded = true;
            mInProgress.remove(this);
            mMailbox.dispose();
        }
    }

    private RequestId requestId() {
        return mRequest.generateRequest().request();
    }
}
