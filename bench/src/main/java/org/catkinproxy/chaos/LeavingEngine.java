package org.catkinproxy.chaos;

import org.catkinproxy.demo.Cluster;
import org.catkinproxy.demo.Member;
import org.catkinproxy.demo.Web;

import okhttp3.Request;

import java.io.IOException;
import java.time.Duration;

/** Lists an engine as leaving and counts its new work. Stateless; safe for use by any thread. */
final class LeavingEngine {
    private static final Duration LIMIT = Duration.ofSeconds(5);

    /** The time in which daemons can read of the change; a list that is down tells nobody. */
    private static final Duration LISTED = Duration.ofMillis(2_500);

    private static final Duration WATCHED = Duration.ofSeconds(4);

    private LeavingEngine() {}

    static void run(RunContext context, Member engine) {
        if (!context.holdSoon(engine)) {
            return;
        }
        try {
            boolean listed = list(context, engine);
            Cluster.sleep(LIMIT.minus(LISTED));
            long before = generations(engine);
            Cluster.sleep(WATCHED);
            long after = generations(engine);
            if (listed) {
                String evidence = engine.id() + " took " + (after - before) + " new requests";
                context.ledger().check(Promise.LEAVING_NO_NEW_WORK, after == before, evidence);
            }
        } catch (IOException e) {
            context.ledger().note(engine.id() + " did not tell its work: " + e.getMessage());
        } finally {
            engine.process().kill();
            context.cluster().list(engine, "live");
            engine.process().start();
            Cluster.await(engine.id(), () -> context.cluster().isListening(engine, "/v1/load"));
            context.release(engine);
        }
    }

    /**
     * Lists the engine as leaving, and waits until daemons have read of it.
     *
     * @return whether the list could be read meanwhile
     */
    private static boolean list(RunContext context, Member engine) {
        Member platform = context.cluster().platform();
        boolean readable = context.holdSoon(platform);
        context.cluster().list(engine, "leaving");
        Cluster.sleep(LISTED);
        if (readable) {
            context.release(platform);
        }
        return readable;
    }

    private static long generations(Member engine) throws IOException {
        Request request = new Request.Builder().url(engine.url() + "/admin/log").build();
        Web.Answer answer = Web.send(Web.bounded(Duration.ofSeconds(2)), request);
        return answer.json().path("generations").asLong();
    }
}
