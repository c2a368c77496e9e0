package org.catkinproxy.task;

import static com.google.common.base.Preconditions.checkNotNull;

import io.reactivex.rxjava3.core.BackpressureOverflowStrategy;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.processors.FlowableProcessor;
import io.reactivex.rxjava3.processors.PublishProcessor;

import java.util.function.Consumer;

/**
 * The bounded inbox of a task: messages from any thread, handled one at a time in order.
 *
 * <p>The handler runs on one worker of the scheduler, so the state it touches needs no locks. A
 * handler that throws does not end the task: the failure goes to the {@code onError} consumer and
 * the next message is handled. {@link #post} may be called by any thread; it never blocks.
 *
 * @param <M> the type of the messages
 */
public final class Mailbox<M> implements Disposable {
    /** How many messages may wait before the oldest are dropped and reported. */
    private static final int CAPACITY = 65_536;

    private final FlowableProcessor<M> mInbox = PublishProcessor.<M>create().toSerialized();
    private final Disposable mSubscription;

    private Mailbox(Scheduler scheduler, Consumer<M> handler, Consumer<Throwable> onError) {
        mSubscription =
                mInbox.onBackpressureBuffer(
                                CAPACITY,
                                () -> onError.accept(new IllegalStateException("mailbox is full")),
                                BackpressureOverflowStrategy.DROP_OLDEST)
                        .observeOn(scheduler)
                        .subscribe(m -> handle(handler, onError, m), onError::accept);
    }

    /**
     * Opens a mailbox.
     *
     * @param scheduler where the handler runs
     * @param handler takes one message at a time
     * @param onError is told of messages that failed or were dropped
     */
    public static <M> Mailbox<M> open(
            Scheduler scheduler, Consumer<M> handler, Consumer<Throwable> onError) {
        checkNotNull(scheduler, "scheduler");
        checkNotNull(handler, "handler");
        checkNotNull(onError, "onError");
        return new Mailbox<>(scheduler, handler, onError);
    }

    /** Puts a message at the end of the inbox; does nothing once the mailbox is closed. */
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
