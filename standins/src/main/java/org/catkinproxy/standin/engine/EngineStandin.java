package org.catkinproxy.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.standin.Call;
import org.catkinproxy.standin.Fault;
import org.catkinproxy.standin.StandinServer;
import org.catkinproxy.standin.WeightsName;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A model engine: continuous batching, prefix cache, resumable streams, orders and KV transfer.
 *
 * <p>Its tokens are those of {@link org.catkinproxy.standin.Tokens}. Safe for use by any thread.
 */
public final class EngineStandin extends StandinServer {
    private static final Duration CACHE_EVENT_POLL = Duration.ofMillis(10);
    private static final long CACHE_HEARTBEAT_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Duration LOAD_RETRY = Duration.ofMillis(250);

    private final EngineOptions mOptions;
    private final PlatformClient mPlatform;
    private final AtomicLong mGenerated = new AtomicLong();
    private volatile EngineRun mRun;
    private volatile LoadReport mReport;

    private EngineStandin(int port, EngineOptions options) {
        super(port);
        mOptions = options;
        mPlatform = new PlatformClient(options.platformUrl());
        mRun = newRun();
        mReport = LoadReport.of(mRun);
        long lag = Math.max(1, options.reportLag().toMillis());
        timer().scheduleAtFixedRate(this::report, lag, lag, TimeUnit.MILLISECONDS);
        timer().scheduleAtFixedRate(() -> mRun.dropUnread(), 1, 1, TimeUnit.SECONDS);
    }

    /** Starts an engine on a port of loopback, 0 for any free one. */
    public static EngineStandin start(int port, EngineOptions options) {
        EngineStandin engine = new EngineStandin(port, options);
        engine.serve();
        return engine;
    }

    /** Returns the id of this start, or of the start after the last crash. */
    public String incarnation() {
        return mRun.incarnation();
    }

    /** Returns how many generations were taken in, over all incarnations. */
    public long generations() {
        return mGenerated.get();
    }

    @Override
    protected void handle(Call call) throws IOException {
        EngineRun run = mRun;
        switch (call.method() + " " + call.part(1)) {
            case "POST generate" -> generate(run, call);
            case "DELETE generate" -> {
                run.cancel(call.part(2));
                call.answer(204);
            }
            case "GET load" -> call.answer(200, mReport.toJson());
            case "GET cache-events" -> streamCacheEvents(run, call);
            case "GET cache" -> call.answer(200, snapshot(run));
            case "POST orders" -> order(run, call);
            case "GET state" -> call.answer(200, run.state());
            case "POST kv" -> transfer(run, call);
            default -> call.error(404, "not_found", call.method() + " " + call.path());
        }
    }

    @Override
    protected boolean act(Fault fault) {
        if (!fault.name().equals("crash")) {
            return false;
        }
        EngineRun crashed = mRun;
        mRun = newRun();
        mReport = LoadReport.of(mRun);
        crashed.crash();
        fault(new Fault("refuse", 1, fault.delay(), 1, 1, "/"));
        return true;
    }

    @Override
    protected JsonNode log() {
        return mRun.state().put("generations", mGenerated.get());
    }

    private EngineRun newRun() {
        return new EngineRun(mOptions, faults(), (run, g) -> threads().execute(() -> work(run, g)));
    }

    private void report() {
        mReport = LoadReport.of(mRun);
    }

    private void generate(EngineRun run, Call call) throws IOException {
        if (call.part(3).equals("resume")) {
            resume(run, call);
            return;
        }
        GenerateRequest request = GenerateRequest.of(call.json());
        Generation generation = new Generation(request);
        if (!run.weights().has(request.weights())) {
            call.error(409, "wrong_weights", "not loaded: " + request.weights());
        } else if (!run.submit(generation)) {
            call.error(503, "queue_full", "too many requests are waiting");
        } else {
            mGenerated.incrementAndGet();
            stream(run, generation, call, request.delivered());
        }
    }

    private void resume(EngineRun run, Call call) throws IOException {
        Optional<Generation> generation = run.generation(call.part(2));
        String after = call.query("after");
        if (generation.isEmpty()) {
            call.error(404, "not_found", "no generation " + call.part(2));
        } else {
            int sequence = after.isEmpty() ? 0 : Integer.parseInt(after);
            int first = generation.get().request().delivered();
            stream(run, generation.get(), call, Math.max(first, sequence));
        }
    }

    private void stream(EngineRun run, Generation generation, Call call, int after) {
        try {
            boolean whole =
                    new GenerationStream(run, generation, faults(), call, after)
                            .write(() -> isSilentWhenThawed(call));
            if (isSilent(call)) {
                awaitClose();
            } else if (!whole) {
                call.cut();
            }
        } catch (IOException e) {
            call.cut();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean isSilentWhenThawed(Call call) {
        awaitThaw();
        return isSilent(call);
    }

    /** Runs a generation that got a slot: prefill in blocks, then one token after the other. */
    private void work(EngineRun run, Generation generation) {
        try {
            prefill(run, generation);
            decode(run, generation);
        } finally {
            run.batch().finished(generation);
        }
    }

    private void prefill(EngineRun run, Generation generation) {
        GenerateRequest request = generation.request();
        int cachedBlocks = run.cache().touchPrefix(request.blocks());
        generation.start(cachedBlocks * GenerateRequest.TOKENS_PER_BLOCK);
        int block = cachedBlocks;
        while (generation.prefillLeft() > 0 && !isOver(run, generation)) {
            int tokens = Math.min(generation.prefillLeft(), GenerateRequest.TOKENS_PER_BLOCK);
            run.prefill().lock();
            try {
                awaitThaw();
                sleep(timeOf(tokens, mOptions.prefillTokensPerSecond()));
            } finally {
                run.prefill().unlock();
            }
            generation.prefilled(tokens);
            if (block < request.blocks().size()) {
                run.cache().store(request.blocks().get(block++));
            }
        }
    }

    private void decode(EngineRun run, Generation generation) {
        Duration token = timeOf(1, mOptions.decodeTokensPerSecond());
        boolean more = true;
        while (more && !isOver(run, generation)) {
            awaitThaw();
            sleep(token);
            more = generation.emit();
        }
    }

    private static boolean isOver(EngineRun run, Generation generation) {
        return run.isCrashed() || generation.isCancelled();
    }

    private static Duration timeOf(int tokens, int tokensPerSecond) {
        return Duration.ofNanos(tokens * Duration.ofSeconds(1).toNanos() / tokensPerSecond);
    }

    private void streamCacheEvents(EngineRun run, Call call) throws IOException {
        String after = call.query("after");
        long sequence = after.isEmpty() ? 0 : Long.parseLong(after);
        long heartbeat = System.nanoTime();
        try (OutputStream out = call.stream()) {
            while (!run.isCrashed()) {
                if (isSilentWhenThawed(call)) {
                    awaitClose();
                }
                List<CacheEvents.Entry> entries = run.events().after(sequence);
                for (CacheEvents.Entry entry : entries) {
                    writeLine(out, entry.json());
                    sequence = entry.sequence();
                }
                if (System.nanoTime() - heartbeat >= CACHE_HEARTBEAT_NANOS) {
                    heartbeat = System.nanoTime();
                    writeLine(out, Call.JSON.createObjectNode().put("heartbeat", true));
                }
                sleep(CACHE_EVENT_POLL);
            }
        } catch (IOException e) {
            call.cut();
        }
    }

    private static void writeLine(OutputStream out, ObjectNode event) throws IOException {
        out.write((event + "\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static ObjectNode snapshot(EngineRun run) {
        BlockCache.Snapshot snapshot = run.cache().snapshot();
        ObjectNode json = Call.JSON.createObjectNode();
        json.put("incarnation", run.incarnation()).put("seq", snapshot.sequence());
        ArrayNode blocks = json.putArray("blocks");
        snapshot.blocks().forEach(blocks::add);
        return json;
    }

    private void order(EngineRun run, Call call) throws IOException {
        JsonNode order = call.json();
        if (!run.accepts(order.path("fencing").asLong())) {
            call.error(409, "stale_order", "a higher fencing number was seen");
            return;
        }
        switch (order.path("order").asText()) {
            case "load" -> load(run, WeightsName.of(order.path("weights")));
            case "unload" -> run.weights().remove(WeightsName.of(order.path("weights")));
            case "role" -> run.setRole(order.path("role").asText());
            default -> throw new IllegalArgumentException("unknown order: " + order);
        }
        call.answer(202, run.state());
    }

    private void load(EngineRun run, WeightsName weights) {
        if (!run.weights().begin(weights)) {
            return;
        }
        if (mPlatform.isPresent()) {
            threads().execute(() -> download(run, weights));
        } else {
            run.weights().finish(weights);
        }
    }

    private void download(EngineRun run, WeightsName weights) {
        while (!run.isCrashed()) {
            try {
                if (mPlatform.loadWeights(weights)) {
                    run.weights().finish(weights);
                    return;
                }
            } catch (IOException e) {
                // The store may be down for long; the order stands until it is revoked.
            }
            sleep(LOAD_RETRY);
        }
    }

    private void transfer(EngineRun run, Call call) throws IOException {
        JsonNode body = call.json();
        ObjectNode answer = Call.JSON.createObjectNode();
        ArrayNode done = answer.putArray("blocks");
        KvTransfer transfer = new KvTransfer(mPlatform, run.cache(), body);
        List<String> blocks = new ArrayList<>();
        body.path("blocks").forEach(b -> blocks.add(b.asText()));
        for (String block : blocks) {
            if (call.part(2).equals("export") ? transfer.put(block) : transfer.take(block)) {
                done.add(block);
            }
        }
        call.answer(200, answer);
    }
}
