package org.catkinproxy.order;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.FencingNumber;
import org.catkinproxy.id.InstanceId;

import java.time.Duration;
import java.util.Optional;

/**
 * Acquires, renews and loses one lease on behalf of one contender.
 *
 * <p>Clocks of different instances are never compared. A contender takes the lease over once it has
 * itself observed the row unchanged for the whole time to live; two reads with the same version
 * show that. The holder's lease ends after three quarters of the time to live, counted from when
 * the holder issued its last successful write. No other contender can have observed that write
 * before it was issued, so at most one contender holds the lease at a time as long as all clocks
 * run at about the same rate. A holder that was paused for longer finds its lease expired when it
 * resumes. Orders that are in flight when a lease expires are not covered here; the fencing number
 * protects against these.
 *
 * <p>A store that comes back from a copy may have lost the row, and begins a new era. A lease ends
 * with its era. Each era has a row of its own, so that a write that takes effect in a later era
 * changes nothing there. No contender creates the row before it has known the era for the whole
 * time to live, in which a holder that does not know the era yet loses its lease. The fencing
 * numbers of an era are higher than those of all earlier ones.
 *
 * <p>Times are readings of the owner's monotonic clock, in nanoseconds. Not thread-safe: the owner
 * passes in one event at a time, and checks {@link #heldFencingNumber} before each action that
 * requires the lease.
 */
public final class LeaseStateMachine {
    /**
     * Renewals per time to live. The holder's lease also ends one renewal period before the time to
     * live is over.
     */
    private static final int RENEWALS_PER_TTL = 4;

    private final InstanceId mSelf;
    private final String mSession;
    private final long mTtlNanos;

    private boolean mActionPending;

    /** Whether the pending read only observes the row. */
    private boolean mObserving;

    private Optional<Long> mLastReadAt = Optional.empty();

    /** The newest era of the store that is known, negative before the first. */
    private long mEra = -1;

    /** The era whose row the pending action, or the last one, concerns. */
    private long mActionEra;

    /** When {@link #mEra} was first known. */
    private long mEraSince;

    /** The row's version as of the last read, in the current era. */
    private long mSeenVersion = StoredLease.ABSENT_VERSION;

    /** When {@link #mSeenVersion} was first read. */
    private long mSeenSince;

    /** The number of writes issued; it makes each written row differ from all others. */
    private long mWriteNumber;

    /** The row of the last issued write, whether or not the write took effect. */
    private Optional<LeaseRow> mLastWrite = Optional.empty();

    private long mLastWriteIssuedAt;

    /** The row by which this contender holds the lease, or held it until the lease expired. */
    private Optional<StoredLease> mHeldLease = Optional.empty();

    /** When the write of {@link #mHeldLease} was issued. */
    private long mRenewedAt;

    private long mHeldSince;

    /** Whether an engine rejected the fencing number, so that a higher one must be written. */
    private boolean mSuperseded;

    private LeaseStateMachine(InstanceId self, String session, Duration ttl) {
        mSelf = checkNotNull(self, "self");
        mSession = checkNotNull(session, "session");
        checkArgument(ttl.toNanos() > 0, "ttl is not positive: %s", ttl);
        mTtlNanos = ttl.toNanos();
    }

    /**
     * Returns a contender that holds nothing.
     *
     * @param self the instance that contends
     * @param session identifies the process; it must differ for every start of the instance
     * @param ttl the time to live of the lease, the same for all contenders
     */
    public static LeaseStateMachine of(InstanceId self, String session, Duration ttl) {
        return new LeaseStateMachine(self, session, ttl);
    }

    /** Returns the fencing number of the lease, or empty if it is not held at {@code now}. */
    public Optional<FencingNumber> heldFencingNumber(long now) {
        long limit = mTtlNanos - mTtlNanos / RENEWALS_PER_TTL;
        return mHeldLease.filter(h -> now - mRenewedAt < limit).map(h -> h.row().fencingNumber());
    }

    /** Returns when this contender got its latest fencing number, or 0 if it never had one. */
    public long heldSince() {
        return mHeldSince;
    }

    /** Handles one event and returns the action to perform, if any. */
    public Optional<LeaseAction> handle(LeaseEvent event, long now) {
        if (event instanceof LeaseEvent.Tick) {
            return mActionPending ? Optional.empty() : onTick(now);
        }
        if (event instanceof LeaseEvent.Observe) {
            return mActionPending ? Optional.empty() : observe(now);
        }
        if (event instanceof LeaseEvent.Superseded) {
            mHeldLease = Optional.empty();
            mSuperseded = true;
            return Optional.empty();
        }
        if (event instanceof LeaseEvent.EraObserved observed) {
            observeEra(observed.era(), now);
            return Optional.empty();
        }
        boolean wasObserving = mObserving;
        mActionPending = false;
        mObserving = false;
        if (event instanceof LeaseEvent.RowRead read) {
            observeEra(read.era(), now);
            if (!isOfCurrentEra(read.era())) {
                return Optional.empty();
            }
            read.row().ifPresent(row -> recordSeen(row, now));
            return wasObserving ? Optional.empty() : onRead(read.row(), now);
        }
        if (event instanceof LeaseEvent.RowWritten written) {
            observeEra(written.era(), now);
            if (isOfCurrentEra(written.era())) {
                recordHeldLease(new StoredLease(written.version(), mLastWrite.orElseThrow()), now);
            }
            return Optional.empty();
        }
        // Whether a write that failed took effect is found out by the next read of the row.
        return event instanceof LeaseEvent.WriteConflict ? read(now) : Optional.empty();
    }

    /** Ends the lease and forgets the row if the store has begun a new era. */
    private void observeEra(long era, long now) {
        if (era <= mEra) {
            return;
        }
        mEra = era;
        mEraSince = now;
        mHeldLease = Optional.empty();
        mSeenVersion = StoredLease.ABSENT_VERSION;
    }

    /** Returns whether the action and its result, in {@code resultEra}, are of the current era. */
    private boolean isOfCurrentEra(long resultEra) {
        return mActionEra == mEra && resultEra == mEra;
    }

    private Optional<LeaseAction> onTick(long now) {
        long period = mTtlNanos / RENEWALS_PER_TTL;
        boolean due = mLastReadAt.map(at -> now - at >= period).orElse(true);
        return due ? read(now) : Optional.empty();
    }

    private Optional<LeaseAction> onRead(Optional<StoredLease> row, long now) {
        if (row.isEmpty()) {
            boolean mayBeLost = mEra > 0 && now - mEraSince < mTtlNanos;
            return mayBeLost
                    ? Optional.empty()
                    : write(StoredLease.ABSENT_VERSION, nextNumber(FencingNumber.NONE), now);
        }
        StoredLease found = row.get();
        if (isOwn(found.row())) {
            return renew(found, now);
        }
        mHeldLease = Optional.empty();
        if (now - mSeenSince < mTtlNanos) {
            return Optional.empty();
        }
        return write(found.version(), nextNumber(found.row().fencingNumber()), now);
    }

    private void recordSeen(StoredLease found, long now) {
        if (found.version() != mSeenVersion) {
            mSeenVersion = found.version();
            mSeenSince = now;
        }
    }

    private FencingNumber nextNumber(FencingNumber last) {
        return FencingNumber.max(last, FencingNumber.floorOfEra(mEra)).next();
    }

    /** Renews a row of this session, which may come from a write whose answer was lost. */
    private Optional<LeaseAction> renew(StoredLease found, long now) {
        FencingNumber number = found.row().fencingNumber();
        if (mSuperseded) {
            return write(found.version(), number.next(), now);
        }
        // A held lease counts from the issue of the last write, so only the row of that write
        // extends it: an earlier write may have taken effect long before the last was issued.
        boolean isLast = mLastWrite.filter(found.row()::equals).isPresent();
        if (isLast) {
            recordHeldLease(found, now);
        }
        return write(found.version(), number, now);
    }

    private void recordHeldLease(StoredLease stored, long now) {
        boolean sameNumber =
                mHeldLease
                        .filter(h -> h.row().fencingNumber().equals(stored.row().fencingNumber()))
                        .isPresent();
        if (!sameNumber) {
            mHeldSince = now;
        }
        mHeldLease = Optional.of(stored);
        mSuperseded = false;
        mRenewedAt = mLastWriteIssuedAt;
    }

    private boolean isOwn(LeaseRow row) {
        return row.holder().equals(mSelf) && row.session().equals(mSession);
    }

    private Optional<LeaseAction> observe(long now) {
        mObserving = true;
        return read(now);
    }

    private Optional<LeaseAction> read(long now) {
        mActionPending = true;
        mLastReadAt = Optional.of(now);
        mActionEra = Math.max(0, mEra);
        return Optional.of(new LeaseAction.ReadRow(mActionEra));
    }

    private Optional<LeaseAction> write(long expected, FencingNumber number, long now) {
        mActionPending = true;
        mLastWriteIssuedAt = now;
        LeaseRow row = new LeaseRow(mSelf, mSession, number, ++mWriteNumber);
        mLastWrite = Optional.of(row);
        mActionEra = mEra;
        return Optional.of(new LeaseAction.WriteRow(mActionEra, expected, row));
    }
}
