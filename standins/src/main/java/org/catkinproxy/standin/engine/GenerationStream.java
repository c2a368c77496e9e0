package org.catkinproxy.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.standin.Call;
import org.catkinproxy.standin.Faults;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

/** Writes a generation to one connection. Used by the one thread that handles the call. */
final class GenerationStream {
    private static final long HEARTBEAT_MS = 500;

    private final EngineRun mRun;
    private final Generation mGeneration;
    private final Faults mFaults;
    private final Call mCall;
    private int mSequence;

    GenerationStream(EngineRun run, Generation generation, Faults faults, Call call, int after) {
        mRun = run;
        mGeneration = generation;
        mFaults = faults;
        mCall = call;
        mSequence = after;
    }

    /**
     * Writes events until the end, or until the connection is to be cut or goes silent.
     *
     * @param silent tells whether the connection has gone silent, and waits while all is frozen
     * @return whether the stream ended in an orderly way
     */
    boolean write(BooleanSupplier silent) throws IOException, InterruptedException {
        mGeneration.attach();
        try {
            OutputStream out = mCall.stream();
            return writeEvents(out, silent);
        } finally {
            mGeneration.detach();
        }
    }

    private boolean writeEvents(OutputStream out, BooleanSupplier silent)
            throws IOException, InterruptedException {
        boolean started = false;
        while (true) {
            Generation.View view = mGeneration.await(started, mSequence, HEARTBEAT_MS);
            if (silent.getAsBoolean() || view.cancelled() || takes("cut")) {
                return false;
            }
            if (view.started() && !started) {
                started = true;
                writeLine(out, startEvent());
            } else if (view.last() > mSequence) {
                writeTokens(out, view.last());
            } else if (!view.ended()) {
                writeLine(out, event("heartbeat"));
            }
            if (takes("truncate")) {
                out.close();
                return true;
            }
            if (started && view.ended() && view.last() <= mSequence) {
                writeLine(out, endEvent());
                out.close();
                return true;
            }
        }
    }

    private void writeTokens(OutputStream out, int last) throws IOException {
        int next = mSequence + 1;
        if (takes("token_gap")) {
            next++;
        }
        if (next < last && takes("token_crossed")) {
            writeLine(out, tokenEvent(next + 1));
            writeLine(out, tokenEvent(next));
            mSequence = next + 1;
            return;
        }
        mSequence = Math.max(next, mSequence);
        if (next <= mGeneration.length()) {
            writeLine(out, tokenEvent(next));
        }
        if (takes("token_repeat")) {
            writeLine(out, tokenEvent(next));
        }
    }

    private boolean takes(String fault) {
        return mFaults.take(fault, mCall.path()).isPresent();
    }

    private ObjectNode startEvent() {
        ObjectNode weights = EngineRun.toJson(mGeneration.request().weights());
        if (takes("wrong_weights")) {
            weights.put("version", "wrong");
        }
        ObjectNode event = event("start").put("incarnation", mRun.incarnation());
        event.set("weights", weights);
        event.put("cachedTokens", mGeneration.cachedTokens());
        event.put("promptTokens", mGeneration.request().promptTokens());
        return event;
    }

    private ObjectNode tokenEvent(int sequence) {
        ObjectNode event = event("token");
        if (takes("wrong_request")) {
            event.put("request", "another-request");
        }
        return event.put("seq", sequence).put("text", mGeneration.token(sequence));
    }

    private ObjectNode endEvent() {
        return event("end").put("count", mGeneration.length()).put("finish", mGeneration.finish());
    }

    private ObjectNode event(String type) {
        ObjectNode event = Call.JSON.createObjectNode();
        return event.put("type", type).put("request", mGeneration.request().id());
    }

    private static void writeLine(OutputStream out, ObjectNode event) throws IOException {
        out.write((event + "\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }
}
