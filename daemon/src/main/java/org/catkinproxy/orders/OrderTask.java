package org.catkinproxy.orders;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.config.Configuration;
import org.catkinproxy.config.ModelAssignment;
import org.catkinproxy.config.Pool;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.id.FencingNumber;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.Revision;
import org.catkinproxy.id.Weights;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;
import org.catkinproxy.order.EngineOrder;
import org.catkinproxy.order.EngineWeightsStatus;
import org.catkinproxy.order.LeaseEvent;
import org.catkinproxy.platform.TableService;
import org.catkinproxy.task.Mailbox;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Collectors;

/**
 * Contends for the lease of every pool, and gives the pool's engines orders while it holds one.
 *
 * <p>Orders are level-triggered: every round reads what the engines have and orders the difference
 * to what the configuration wants, so a lost, repeated or stale order is put right by the next
 * round. Before each order the holding is checked again. All state is touched by the mailbox's
 * handler only.
 */
public final class OrderTask implements Disposable {
    private final OrderSettings mSettings;
    private final LeaseTable mLeases;
    private final EngineControl mEngines;
    private final Supplier<Configuration> mConfiguration;
    private final Function<PoolId, List<OrderTarget>> mTargets;
    private final LongSupplier mNanoTime;
    private final Map<PoolId, PoolOrders> mPools = new HashMap<>();
    private final Mailbox<Runnable> mMailbox;
    private final Disposable mTicks;

    private OrderTask(
            OrderSettings settings,
            TableService tables,
            EngineControl engines,
            Supplier<Configuration> configuration,
            Function<PoolId, List<OrderTarget>> targets,
            Scheduler scheduler,
            LongSupplier nanoTime) {
        mSettings = checkNotNull(settings, "settings");
        mLeases = new LeaseTable(checkNotNull(tables, "tables"));
        mEngines = checkNotNull(engines, "engines");
        mConfiguration = checkNotNull(configuration, "configuration");
        mTargets = checkNotNull(targets, "targets");
        mNanoTime = checkNotNull(nanoTime, "nanoTime");
        mMailbox = Mailbox.open(scheduler, Runnable::run, OrderTask::reportFailure);
        long period = settings.period().toMillis();
        mTicks =
                scheduler.schedulePeriodicallyDirect(
                        () -> mMailbox.post(this::tick), period, period, TimeUnit.MILLISECONDS);
    }

    /**
     * Starts the task.
     *
     * @param settings the times and limits
     * @param tables where the leases are
     * @param engines how engines are reached
     * @param configuration the configuration in force
     * @param targets the engines of a pool that are there and not leaving
     * @param scheduler where the task runs
     * @param nanoTime the monotonic clock, in nanoseconds
     */
    public static OrderTask start(
            OrderSettings settings,
            TableService tables,
            EngineControl engines,
            Supplier<Configuration> configuration,
            Function<PoolId, List<OrderTarget>> targets,
            Scheduler scheduler,
            LongSupplier nanoTime) {
        return new OrderTask(
                settings, tables, engines, configuration, targets, scheduler, nanoTime);
    }

    @Override
    public void dispose() {
        mTicks.dispose();
        mMailbox.dispose();
    }

    @Override
    public boolean isDisposed() {
        return mMailbox.isDisposed();
    }

    private void tick() {
        Configuration configuration = mConfiguration.get();
        if (configuration.revision().equals(Revision.NONE)) {
            return;
        }
        for (Pool pool : configuration.pools()) {
            if (!mTargets.apply(pool.id()).isEmpty()) {
                tick(pool);
            }
        }
    }

    private void tick(Pool pool) {
        long now = mNanoTime.getAsLong();
        PoolOrders orders =
                mPools.computeIfAbsent(pool.id(), p -> new PoolOrders(mSettings, pool, now));
        advance(pool, orders, new LeaseEvent.Tick());
        if (orders.beginRound(pool, now)) {
            beginRound(pool, orders);
        }
    }

    private void advance(Pool pool, PoolOrders orders, LeaseEvent event) {
        long now = mNanoTime.getAsLong();
        Optional<FencingNumber> before = orders.lease().heldFencingNumber(now);
        orders.lease()
                .handle(event, now)
                .ifPresent(
                        action ->
                                mLeases.run(pool.id(), action)
                                        .subscribe(e -> post(() -> advance(pool, orders, e))));
        Optional<FencingNumber> after = orders.lease().heldFencingNumber(now);
        if (!before.equals(after)) {
            LogEvent change = after.isPresent() ? LogEvent.LEASE_HELD : LogEvent.LEASE_LOST;
            EventLog.log(change, pool.id(), after.or(() -> before).orElseThrow());
        }
    }

    private void beginRound(Pool pool, PoolOrders orders) {
        Flowable.fromIterable(mTargets.apply(pool.id()))
                .flatMapMaybe(t -> mEngines.state(t).toMaybe().onErrorComplete())
                .toList()
                .subscribe(
                        states -> post(() -> order(pool, orders, states)),
                        failure -> post(orders::endRound));
    }

    private void order(Pool pool, PoolOrders orders, List<EngineWeightsStatus> states) {
        Configuration configuration = mConfiguration.get();
        Set<Weights> wanted =
                configuration.assignments().stream()
                        .filter(a -> a.pool().equals(pool.id()))
                        .map(ModelAssignment::weights)
                        .collect(Collectors.toSet());
        List<EngineOrder> due = orders.plan(pool, wanted, states, mNanoTime.getAsLong());
        give(pool, orders, configuration.revision(), due);
    }

    /** Gives the orders one after another, each only if the lease is still held by then. */
    private void give(Pool pool, PoolOrders orders, Revision revision, List<EngineOrder> due) {
        long now = mNanoTime.getAsLong();
        Optional<FencingNumber> number = orders.mayOrder(pool, now);
        Optional<OrderTarget> target = due.isEmpty() ? Optional.empty() : target(pool, due.get(0));
        if (number.isEmpty() || target.isEmpty()) {
            orders.endRound();
            return;
        }
        EngineOrder order = due.get(0);
        List<EngineOrder> rest = due.subList(1, due.size());
        orders.note(order, now);
        EventLog.log(
                LogEvent.ORDER_GIVEN,
                order.kind().wireName(),
                order.weights(),
                order.engine(),
                number.get());
        mEngines.order(target.get(), order, number.get(), revision)
                .subscribe(
                        state -> post(() -> give(pool, orders, revision, rest)),
                        failure -> post(() -> failed(pool, orders, revision, rest, failure)));
    }

    private void failed(
            Pool pool,
            PoolOrders orders,
            Revision revision,
            List<EngineOrder> rest,
            Throwable failure) {
        EventLog.log(LogEvent.ORDER_FAILED, pool.id(), failure);
        if (failure instanceof CatkinException e && e.code() == ErrorCode.STALE_ORDER) {
            advance(pool, orders, new LeaseEvent.Superseded());
        }
        give(pool, orders, revision, rest);
    }

    private Optional<OrderTarget> target(Pool pool, EngineOrder order) {
        return mTargets.apply(pool.id()).stream()
                .filter(t -> t.engine().equals(order.engine()))
                .findFirst();
    }

    private void post(Runnable message) {
        mMailbox.post(message);
    }

    private static void reportFailure(Throwable failure) {
        EventLog.log(LogEvent.TASK_FAILED, "orders", failure);
    }
}
