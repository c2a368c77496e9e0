package org.catkinproxy.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;

import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A log that writes each event as a JSON object on a line of its own, without blocking its caller.
 *
 * <p>A bounded buffer holds the lines, and a separate thread writes them in batches. Lines that do
 * not fit are dropped, and their number is logged once there is room. Must be used by the event
 * loop only, except for {@link #to}.
 */
public final class EventLog {
    /** Size from which the lines of a batch are dropped until the next flush. */
    private static final int MAX_BATCH_CHARS = 64 * 1024;

    private static final int MAX_BATCHES = 8;

    private static final long CLOSE_TIMEOUT_MILLIS = 100;

    /** The batch after which the writer thread ends. */
    private static final byte[] END = {};

    private final JsonFactory mJson = new JsonFactory();
    private final BlockingQueue<byte[]> mBatches = new ArrayBlockingQueue<>(MAX_BATCHES);
    private final String mInstance;
    private final Thread mWriter;
    private StringBuilder mBatch = new StringBuilder();
    private long mUnreportedDropped;
    private long mTotalDropped;

    private EventLog(OutputStream out, String instance) {
        mInstance = instance;
        mWriter = new Thread(() -> writeBatches(out), "log");
        mWriter.setDaemon(true);
    }

    /** Returns a log that writes to {@code out}; its lines carry the id {@code instance}. */
    public static EventLog to(OutputStream out, String instance) {
        EventLog log = new EventLog(out, instance);
        log.mWriter.start();
        return log;
    }

    /**
     * Adds an event to the current batch.
     *
     * @param fields alternating names and values
     */
    public void record(GatewayEvent event, Object... fields) {
        if (mBatch.length() > MAX_BATCH_CHARS) {
            mUnreportedDropped++;
            mTotalDropped++;
            return;
        }
        mBatch.append(line(event, fields)).append('\n');
    }

    /** Passes the current batch to the writer thread; a batch that finds the queue full is kept. */
    public void flush() {
        if (mBatch.length() == 0) {
            return;
        }
        if (mUnreportedDropped > 0) {
            mBatch.append(line(GatewayEvent.LOG_LINES_DROPPED, "count", mUnreportedDropped))
                    .append('\n');
        }
        if (mBatches.offer(mBatch.toString().getBytes(StandardCharsets.UTF_8))) {
            mBatch = new StringBuilder();
            mUnreportedDropped = 0;
        }
    }

    /**
     * Writes the current batch and ends the writer thread. Waits for a short time at most, as the
     * reader of the output might hold it up.
     */
    public void close() {
        flush();
        try {
            if (mBatches.offer(END, CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
                mWriter.join(CLOSE_TIMEOUT_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the number of lines dropped since the start. */
    public long droppedLines() {
        return mTotalDropped;
    }

    private String line(GatewayEvent event, Object... fields) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = mJson.createGenerator(text)) {
            json.writeStartObject();
            json.writeNumberField("at_ms", System.currentTimeMillis());
            json.writeStringField("instance", mInstance);
            json.writeNumberField("event", event.number());
            json.writeStringField("name", event.wireName());
            for (int i = 0; i < fields.length; i += 2) {
                write(json, String.valueOf(fields[i]), fields[i + 1]);
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static void write(JsonGenerator json, String name, Object value) throws IOException {
        if (value instanceof Long || value instanceof Integer) {
            json.writeNumberField(name, ((Number) value).longValue());
        } else if (value instanceof Boolean flag) {
            json.writeBooleanField(name, flag);
        } else {
            json.writeStringField(name, String.valueOf(value));
        }
    }

    private void writeBatches(OutputStream out) {
        try {
            for (byte[] batch = mBatches.take(); batch != END; batch = mBatches.take()) {
                out.write(batch);
                out.flush();
            }
        } catch (IOException e) {
            // The output is closed; the queue fills up, and further lines are counted as dropped.
            Thread.currentThread().interrupt();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
