package org.catkinproxy.chaos;

import org.catkinproxy.demo.StreamOutcome;
import org.catkinproxy.standin.Tokens;

import java.util.List;
import java.util.OptionalInt;

/** Compares what a caller received with what engines generate. Safe for use by any thread. */
final class StreamCheck {
    private static final int SHOWN = 80;

    private final Ledger mLedger;
    private final Versions mVersions;

    StreamCheck(Ledger ledger, Versions versions) {
        mLedger = ledger;
        mVersions = versions;
    }

    /** Checks one stream that began at {@code startNanos}. */
    void check(String prompt, int maxTokens, long startNanos, StreamOutcome outcome) {
        mLedger.outcome("stream " + kind(outcome));
        if (outcome.text().isEmpty() && !outcome.isDone()) {
            return;
        }
        OptionalInt version = versionOf(prompt, maxTokens, outcome.text(), mVersions.offered());
        mLedger.check(Promise.OWN_ANSWER, version.isPresent(), evidence(outcome));
        if (version.isEmpty()) {
            mLedger.check(Promise.STREAM_WHOLE, false, evidence(outcome));
            return;
        }
        List<Integer> allowed = mVersions.allowed(startNanos);
        mLedger.check(
                Promise.WEIGHTS_IN_FORCE,
                versionOf(prompt, maxTokens, outcome.text(), allowed).isPresent(),
                "version " + version.getAsInt() + ", allowed " + allowed);
        if (outcome.isDone()) {
            String whole = whole(prompt, maxTokens, version.getAsInt());
            mLedger.check(Promise.STREAM_WHOLE, outcome.text().equals(whole), evidence(outcome));
        }
    }

    private static OptionalInt versionOf(
            String prompt, int maxTokens, String text, List<Integer> versions) {
        return versions.stream()
                .filter(v -> whole(prompt, maxTokens, v).startsWith(text))
                .mapToInt(v -> v)
                .findFirst();
    }

    private static String whole(String prompt, int maxTokens, int version) {
        Tokens tokens = Tokens.of(prompt, Versions.weights(version));
        return tokens.text(1, tokens.length(maxTokens));
    }

    private static String kind(StreamOutcome outcome) {
        if (outcome.isDone()) {
            return outcome.connections() == 1 ? "whole" : "whole after going on elsewhere";
        }
        String error = outcome.error().startsWith("connection") ? "connection" : outcome.error();
        return (outcome.text().isEmpty() ? "refused " : "broken off ") + error;
    }

    private static String evidence(StreamOutcome outcome) {
        String text = outcome.text();
        String tail = text.substring(Math.max(0, text.length() - SHOWN));
        return String.format(
                "engine %s, %d connections, done %s, %d characters ending in '%s', %s",
                outcome.engine(),
                outcome.connections(),
                outcome.isDone(),
                text.length(),
                tail,
                outcome.error());
    }
}
