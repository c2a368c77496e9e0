package org.catkinproxy.chaos;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.demo.Caller;
import org.catkinproxy.demo.Cluster;
import org.catkinproxy.demo.DemoSheet;
import org.catkinproxy.demo.Member;
import org.catkinproxy.demo.Prompts;
import org.catkinproxy.demo.StreamOutcome;
import org.catkinproxy.demo.Web;

import java.time.Duration;
import java.util.List;

/** Failures of whole processes. Stateless, so safe for use by any thread. */
final class ProcessFaults {
    private static final Duration SERVE_LIMIT = Duration.ofSeconds(20);
    private static final Duration POLL = Duration.ofMillis(100);
    private static final int PROBE_BYTES = 4_096;
    private static final int PROBE_TOKENS = 10;

    private ProcessFaults() {}

    static void pause(RunContext context, Member member, Duration length) {
        if (!context.holdSoon(member)) {
            return;
        }
        try {
            member.process().pause();
            Cluster.sleep(length);
        } finally {
            member.process().resume();
            context.release(member);
        }
    }

    static void killEngine(RunContext context, Member engine, Duration length) {
        if (!context.holdSoon(engine)) {
            return;
        }
        try {
            engine.process().kill();
            Cluster.sleep(length);
        } finally {
            engine.process().start();
            Cluster.await(engine.id(), () -> context.cluster().isListening(engine, "/v1/load"));
            context.release(engine);
        }
    }

    static void killDaemon(RunContext context, Member daemon, Duration length) {
        if (!context.holdSoon(daemon)) {
            return;
        }
        try {
            daemon.process().kill();
            Cluster.sleep(length);
            daemon.process().start();
            checkServes(context, daemon);
        } finally {
            daemon.process().start();
            context.release(daemon);
        }
    }

    /** Kills every daemon that is not disturbed otherwise, and starts them with the store down. */
    static void killAllDaemons(RunContext context, Duration length) {
        Member platform = context.cluster().platform();
        if (!context.holdSoon(platform)) {
            return;
        }
        List<Member> daemons = context.cluster().daemons().stream().filter(context::hold).toList();
        try {
            daemons.forEach(d -> d.process().kill());
            ObjectNode outage = Web.JSON.createObjectNode().put("fault", "outage");
            context.cluster().fault(platform, outage);
            daemons.forEach(d -> d.process().start());
            Cluster.sleep(length);
            context.cluster().clearFaults(platform);
            daemons.forEach(d -> checkServes(context, d));
        } finally {
            context.release(platform);
            daemons.forEach(context::release);
        }
    }

    /** Waits until a daemon says that it is ready, and sends it a request. */
    static void checkServes(RunContext context, Member daemon) {
        long end = System.nanoTime() + SERVE_LIMIT.toNanos();
        while (!context.cluster().isListening(daemon, "/ready")) {
            if (System.nanoTime() - end > 0) {
                context.ledger()
                        .check(Promise.RESTART_SERVES, false, daemon.id() + " is not ready");
                return;
            }
            Cluster.sleep(POLL);
        }
        StreamOutcome outcome = probe(context, daemon);
        if (!outcome.isDone()) {
            if (context.cluster().daemons().stream().noneMatch(d -> serves(context, d))) {
                String name = "restarted daemon refuses as all others do: " + outcome.error();
                context.ledger().outcome(name);
                return;
            }
            // An engine may have become able to answer between the two.
            outcome = probe(context, daemon);
        }
        String evidence = daemon.id() + " is ready and answers " + outcome;
        context.ledger().check(Promise.RESTART_SERVES, outcome.isDone(), evidence);
    }

    private static boolean serves(RunContext context, Member daemon) {
        return probe(context, daemon).isDone();
    }

    private static StreamOutcome probe(RunContext context, Member daemon) {
        Caller caller = new Caller(List.of(daemon.address()), DemoSheet.keyOf("coatings"));
        String prompt = Prompts.text("probe " + System.nanoTime(), PROBE_BYTES);
        long start = System.nanoTime();
        StreamOutcome outcome = caller.completeAt(daemon.address(), prompt, PROBE_TOKENS);
        context.streams().check(prompt, PROBE_TOKENS, start, outcome);
        return outcome;
    }
}
