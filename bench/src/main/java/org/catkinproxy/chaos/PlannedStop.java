package org.catkinproxy.chaos;

import org.catkinproxy.demo.Caller;
import org.catkinproxy.demo.Cluster;
import org.catkinproxy.demo.DemoSheet;
import org.catkinproxy.demo.Member;
import org.catkinproxy.demo.Prompts;
import org.catkinproxy.demo.StreamOutcome;
import org.catkinproxy.demo.Web;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Stops a daemon as planned while it streams. Stateless, so safe for use by any thread. */
final class PlannedStop {
    private static final int STREAMS = 6;
    private static final int PROMPT_BYTES = 8 * 1024;
    private static final int MAX_TOKENS = 150;
    private static final Duration BEFORE = Duration.ofMillis(500);
    private static final Duration POLL = Duration.ofMillis(100);
    private static final Duration END_LIMIT = Duration.ofSeconds(60);

    private PlannedStop() {}

    static void run(RunContext context, Member daemon) {
        if (!context.holdSoon(daemon)) {
            return;
        }
        ExecutorService threads = Executors.newFixedThreadPool(STREAMS);
        try {
            List<Future<StreamOutcome>> streams = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                String prompt = Prompts.text("stop " + System.nanoTime(), PROMPT_BYTES);
                streams.add(threads.submit(() -> stream(context, daemon, prompt)));
            }
            Cluster.sleep(BEFORE);
            stop(context, daemon);
            streams.forEach(s -> check(context, daemon, s));
            awaitEnd(daemon);
        } finally {
            threads.shutdownNow();
            daemon.process().terminate();
            daemon.process().start();
            ProcessFaults.checkServes(context, daemon);
            context.release(daemon);
        }
    }

    private static StreamOutcome stream(RunContext context, Member daemon, String prompt) {
        Caller caller = new Caller(List.of(daemon.address()), DemoSheet.keyOf("coatings"));
        long start = System.nanoTime();
        StreamOutcome outcome = caller.completeAt(daemon.address(), prompt, MAX_TOKENS);
        context.streams().check(prompt, MAX_TOKENS, start, outcome);
        return outcome;
    }

    private static void stop(RunContext context, Member daemon) {
        try {
            Web.Answer answer = context.operator().stop(daemon, daemon.id());
            context.ledger().outcome("planned stop " + answer.status());
        } catch (IOException e) {
            context.ledger().outcome("planned stop without an answer");
        }
    }

    /** A refusal or a stated error is no cut; a connection that ends in mid-stream is one. */
    private static void check(RunContext context, Member daemon, Future<StreamOutcome> stream) {
        try {
            StreamOutcome outcome = stream.get();
            boolean cut = !outcome.isDone() && outcome.error().startsWith("connection");
            String evidence = daemon.id() + " cut a stream: " + outcome;
            context.ledger().check(Promise.STOP_CUTS_NOTHING, !cut, evidence);
        } catch (ExecutionException e) {
            throw new IllegalStateException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void awaitEnd(Member daemon) {
        long end = System.nanoTime() + END_LIMIT.toNanos();
        while (daemon.process().isAlive() && System.nanoTime() - end < 0) {
            Cluster.sleep(POLL);
        }
    }
}
