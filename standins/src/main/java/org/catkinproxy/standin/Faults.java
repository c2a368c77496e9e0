package org.catkinproxy.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

/**
 * The faults that a stand-in shows now. Safe for use by any thread; all state is under one lock.
 */
public final class Faults {
    private final List<Active> mActive = new ArrayList<>();

    /** Adds a fault; one of the same name and path is replaced. */
    public synchronized void add(Fault fault) {
        mActive.removeIf(
                a -> a.mFault.name().equals(fault.name()) && a.mFault.path().equals(fault.path()));
        mActive.add(new Active(fault));
    }

    /** Removes all faults. */
    public synchronized void clear() {
        mActive.clear();
    }

    /** Takes one opportunity to show the named fault, whatever its path. */
    public Optional<Fault> take(String name) {
        return take(name, null);
    }

    /** Takes one opportunity to show the named fault in a call of {@code path}. */
    public synchronized Optional<Fault> take(String name, String path) {
        for (Active active : mActive) {
            Fault fault = active.mFault;
            boolean concerned = path == null || path.startsWith(fault.path());
            if (fault.name().equals(name) && concerned && active.take()) {
                return Optional.of(fault);
            }
        }
        return Optional.empty();
    }

    /** A fault with what is left of its count. Guarded by the lock of {@link Faults}. */
    private static final class Active {
        private final Fault mFault;
        private final Random mRandom;
        private int mLeft;

        Active(Fault fault) {
            mFault = fault;
            mRandom = new Random(fault.seed());
            mLeft = fault.count();
        }

        boolean take() {
            if (mLeft == 0 || mRandom.nextDouble() >= mFault.probability()) {
                return false;
            }
            if (mLeft > 0) {
                mLeft--;
            }
            return true;
        }
    }
}
