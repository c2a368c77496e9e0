import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Half of the model workers spoil one event in two hundredths of their streams. */
final class SpoiledEvent {
    private static final int STREAMS = 5_000;
    private static final int EVENTS = 12;
    private static final int EVENTS_PER_CHUNK = 2;
    private static final int SPOILED_EVENT = 6;
    private static final double SPOILED_SHARE = 0.02;

    /** Workers spoil answers for the first part of each period. */
    private static final long GARBLING_MILLIS = 5_500;

    private static final long PERIOD_MILLIS = 8_000;
    private static final int FAULTY_WORKERS = 2;
    private static final int WORKERS = 4;
    private static final int CLIENTS = 24;

    /** The time in which a worker reads 9,190 tokens of a prompt, 42.8 in a ms. */
    private static final long PROMPT_MILLIS = 215;

    private static final int SUBJECTS = 30;
    private static final String KEY = "key-of-the-portal";
    private static final Pattern ID = Pattern.compile("(?m)^id: (\\d+)$");

    private SpoiledEvent() {}

    public static void main(String[] args) {
        Case.main("3", SpoiledEvent::run);
    }

    private static boolean run(Case run) throws Exception {
        Worker.Work faulty =
                (worker, request, out, socket) -> {
                    boolean spoils =
                            Case.hasTrouble()
                                    && isGarbling()
                                    && ThreadLocalRandom.current().nextDouble() < SPOILED_SHARE;
                    stream(run, worker, request, out, socket, spoils);
                };
        Worker.Work sound =
                (worker, request, out, socket) ->
                        stream(run, worker, request, out, socket, false);
        for (int i = 1; i <= WORKERS; i++) {
            Worker.Work work = i <= FAULTY_WORKERS ? faulty : sound;
            Worker.engine(run.store(), run.record(), "model-" + i, "models", work);
        }
        run.store().put("op", "config", Config.of(1, "\"" + KEY + "\""));
        run.store().put("op", "version/m0", "{\"model\":\"m0\",\"version\":1}");
        Gateway gateway = run.gateway("edge-1").start();
        Thread.sleep(1_000);
        AtomicInteger next = new AtomicInteger();
        AtomicInteger wrong = new AtomicInteger();
        AtomicInteger complete = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(Server.daemon(() -> sendAll(run, gateway, next, complete, wrong)));
        }
        for (Thread client : clients) {
            client.join();
        }
        run.record().add("%d streams complete, %d of them wrong", complete.get(), wrong.get());
        if (complete.get() < STREAMS / 2) {
            throw new IllegalStateException("the deployment does not serve streams");
        }
        return wrong.get() == 0;
    }

    private static boolean isGarbling() {
        return System.nanoTime() / 1_000_000 % PERIOD_MILLIS < GARBLING_MILLIS;
    }

    private static void stream(
            Case run,
            Worker worker,
            Http.Message request,
            OutputStream out,
            Socket socket,
            boolean spoils)
            throws Exception {
        int last = request.field("last-event-id").map(Integer::parseInt).orElse(0);
        Thread.sleep(PROMPT_MILLIS);
        out.write(worker.streamHead(request));
        for (int id = last + 1; id <= EVENTS; id += EVENTS_PER_CHUNK) {
            StringBuilder chunk = new StringBuilder();
            boolean cut = false;
            for (int i = id; i < id + EVENTS_PER_CHUNK && i <= EVENTS; i++) {
                cut |= spoils && i == SPOILED_EVENT;
                chunk.append("id: " + (cut ? "#" : "") + i + "\ndata: piece " + i + "\n\n");
            }
            out.write(Worker.chunk(chunk.toString()));
            if (cut) {
                run.record()
                        .add(
                                "%s  spoils event %d of request %s and breaks off",
                                worker.id(),
                                SPOILED_EVENT,
                                request.field("request-id").orElse("-"));
                socket.close();
                return;
            }
            Thread.sleep(20);
        }
        out.write(Worker.lastChunk());
    }

    private static void sendAll(
            Case run,
            Gateway gateway,
            AtomicInteger next,
            AtomicInteger complete,
            AtomicInteger wrong) {
        int number = next.incrementAndGet();
        while (number <= STREAMS) {
            String id = "check-" + number;
            Map<String, String> headers =
                    Client.headers(
                            "Authorization", "Bearer " + KEY,
                            Wire.name("model"), Worker.MODEL,
                            Wire.name("tokens"), "9190," + EVENTS,
                            Wire.name("prefix"), prefix(number));
            Optional<Http.Message> answer =
                    new Client(run.record())
                            .send(
                                    gateway.front(), id, "POST", "/check/" + number, 6_000, headers,
                                    "prompt".getBytes());
            boolean ended =
                    answer.filter(a -> a.status() == 200 && a.complete()).isPresent();
            if (ended) {
                complete.incrementAndGet();
                check(run, id, answer.get().text(), wrong);
            }
            number = next.incrementAndGet();
        }
    }

    private static String prefix(int number) {
        String own = Integer.toHexString(1 << 20 | number);
        return "c%d:2520,d%d:3780,%s:2890".formatted(number % 4, number % SUBJECTS, own);
    }

    private static void check(Case run, String id, String text, AtomicInteger wrong) {
        List<Integer> ids = new ArrayList<>();
        Matcher matcher = ID.matcher(text);
        while (matcher.find()) {
            ids.add(Integer.parseInt(matcher.group(1)));
        }
        List<Integer> expected = new ArrayList<>();
        for (int i = 1; i <= EVENTS; i++) {
            expected.add(i);
        }
        if (!ids.equals(expected)) {
            wrong.incrementAndGet();
            run.record().add("client has  events %s in a complete stream (request %s)", ids, id);
        }
    }
}
