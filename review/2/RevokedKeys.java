import java.util.Map;
import java.util.Optional;

/**
 * The two keys of the only tenant are taken away, one after the other; then requests come with these
 * and other keys.
 */
final class RevokedKeys {
    private static final String FIRST_KEY = "key-of-the-portal";
    private static final String SECOND_KEY = "key-of-the-reviewers";
    private static final String UNKNOWN_KEY = "key-that-nobody-ever-held";

    private static final long GAP_MILLIS = 500;

    /** {@code converge-ms} of the deployment, and a second more. */
    private static final long CONVERGE_MILLIS = 3_000;

    private RevokedKeys() {}

    public static void main(String[] args) {
        Case.main("2", RevokedKeys::run);
    }

    private static boolean run(Case run) throws Exception {
        Worker.plain(run.store(), run.record(), "desk-1", "desk", Worker.after(30));
        Worker.plain(run.store(), run.record(), "desk-2", "desk", Worker.after(30));
        String bothKeys = "\"%s\",\"%s\"".formatted(FIRST_KEY, SECOND_KEY);
        run.store().put("op", "config", Config.of(1, bothKeys));
        Gateway gateway = run.gateway("edge-1").start();
        Thread.sleep(1_000);
        boolean servesBefore =
                send(run, gateway, "before-1", FIRST_KEY) == 200
                        && send(run, gateway, "before-2", SECOND_KEY) == 200
                        && send(run, gateway, "before-3", UNKNOWN_KEY) == 401;
        if (!servesBefore) {
            throw new IllegalStateException("the deployment does not serve its keys");
        }
        acknowledge(run, 2, Case.hasTrouble() ? "\"" + SECOND_KEY + "\"" : bothKeys);
        Thread.sleep(GAP_MILLIS);
        acknowledge(run, 3, Case.hasTrouble() ? "" : bothKeys);
        Thread.sleep(CONVERGE_MILLIS);
        boolean held = true;
        for (int i = 0; i < 10; i++) {
            boolean firstRan = send(run, gateway, "revoked-a" + i, FIRST_KEY) == 200;
            boolean secondRan = send(run, gateway, "revoked-b" + i, SECOND_KEY) == 200;
            boolean unknownRan = send(run, gateway, "unknown-" + i, UNKNOWN_KEY) == 200;
            held &= !unknownRan && (!Case.hasTrouble() || (!firstRan && !secondRan));
            Thread.sleep(100);
        }
        return held;
    }

    private static void acknowledge(Case run, int version, String keysLeft) {
        run.store().put("op", "config", Config.of(version, keysLeft));
        run.record().add("desired state %d acknowledged, keys left: [%s]", version, keysLeft);
    }

    private static int send(Case run, Gateway gateway, String id, String key) {
        Map<String, String> headers = Client.headers("Authorization", "Bearer " + key);
        Optional<Http.Message> answer =
                new Client(run.record())
                        .send(
                                gateway.front(),
                                id,
                                "POST",
                                "/file/" + id,
                                1_000,
                                headers,
                                "decision".getBytes());
        return answer.map(Http.Message::status).orElse(0);
    }
}
