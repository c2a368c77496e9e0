package org.catkinproxy.standin;

/** Ends the work of a stand-in that was closed. Immutable. */
final class StandinClosedException extends RuntimeException {
    private static final long serialVersionUID = 1;

    StandinClosedException() {
        super("the stand-in was closed");
    }
}
