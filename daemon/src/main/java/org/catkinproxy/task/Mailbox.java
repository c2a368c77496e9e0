package org.catkinproxy.task;

import static com.google.common.base.Preconditions.checkNotNull;

import io.reactivex.rxjava3.core.BackpressureOverflowStrategy;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.processors.FlowableProcessor;
import io.reactivex.rxjava3.processors.PublishProcessor;

import java.util.function.Consumer;

/**
 * A bounded queue of messages to a task, which handles them one at a time in order.
 *
 * <p>Thread-safe: any thread may call {@link #post}, which never blocks. The handler runs on one
 * worker of the scheduler, so state that only the handler accesses needs no locks. If the handler
 * throws a {@link RuntimeException}, the {@code onError} consumer gets it and the next message is
 * handled.
 *
 * @param <M> the type of the messages
 */
public final class Mailbox<M> implements Disposable {
    /** The number of queued messages above which the oldest is dropped and reported. */
    private static final int CAPACITY = 65_536;

    private final FlowableProcessor<M> mInbox = PublishProcessor.<M>create().toSerialized();
    private final Disposable mSubscription;

    private Mailbox(Scheduler scheduler, Consumer<M> handler, Consumer<Throwable> onError) {
        mSubscription =
                mInbox.onBackpressureBuffer(
                                CAPACITY,
                                () ->
                                        onError.accept(
                                                new IllegalStateException(
                                                        "mailbox full; dropped oldest message")),
                                BackpressureOverflowStrategy.DROP_OLDEST)
                        .observeOn(scheduler)
                        .subscribe(m -> handle(handler, onError, m), onError::accept);
    }

    /**
     * Opens a mailbox and starts to handle messages.
     *
     * @param scheduler the scheduler that runs the handler
     * @param handler handles one message at a time
     * @param onError gets the exception if the handler throws or a message is dropped; may run on
     *     any thread
     */
    public static <M> Mailbox<M> open(
            Scheduler scheduler, Consumer<M> handler, Consumer<Throwable> onError) {
        checkNotNull(scheduler, "scheduler");
        checkNotNull(handler, "handler");
        checkNotNull(onError, "onError");
        return new Mailbox<>(scheduler, handler, onError);
    }

    /** Appends a message to the queue; does nothing after the mailbox was disposed. */
    public void post(M message) {
        mInbox.onNext(message);
    }

    @Override
    public void dispose() {
        mSubscription.dispose();
    }

    @Override
    public boolean isDisposed() {
        return mSubscription.isDisposed();
    }

    private static <M> void handle(Consumer<M> handler, Consumer<Throwable> onError, M message) {
        try {
            handler.accept(message);
        } catch (RuntimeException e) {
            onError.accept(e);
        }
    }
}
