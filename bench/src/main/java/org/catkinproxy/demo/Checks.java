package org.catkinproxy.demo;

import java.util.concurrent.Callable;

/** Prints what was looked at and remembers whether all of it held. Used by one thread. */
final class Checks {
    private int mFailed;

    /** Prints one line on what was looked at. */
    void check(String what, boolean holds, String found) {
        System.out.printf("%-4s %s: %s%n", holds ? "ok" : "FAIL", what, found);
        if (!holds) {
            mFailed++;
        }
    }

    /** Runs a step; an exception is a failure of the step. */
    void step(String what, Callable<Void> step) {
        try {
            step.call();
        } catch (Exception e) {
            check(what, false, e.toString());
        }
    }

    boolean allHeld() {
        return mFailed == 0;
    }
}
