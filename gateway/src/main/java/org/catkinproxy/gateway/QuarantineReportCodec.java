package org.catkinproxy.gateway;

import org.apache.thrift.TException;
import org.apache.thrift.protocol.TProtocol;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.quarantine.EngineStart;
import org.catkinproxy.quarantine.PromptFailure;
import org.catkinproxy.quarantine.Quarantine;
import org.catkinproxy.quarantine.QuarantineReport;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Encodes and decodes reports of prompts that crash engines, as parts of a peer message.
 *
 * <p>Times are written in ms. Stateless, and so safe for use by any thread.
 */
final class QuarantineReportCodec {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private QuarantineReportCodec() {}

    static void write(TProtocol out, QuarantineReport report) throws TException {
        out.writeI32(report.failures().size());
        for (PromptFailure failure : report.failures()) {
            write(out, failure);
        }
        out.writeI32(report.successes().size());
        for (Map.Entry<Long, Long> success : report.successes().entrySet()) {
            out.writeI64(success.getKey());
            writeTime(out, success.getValue());
        }
        out.writeI32(report.quarantines().size());
        for (Quarantine quarantine : report.quarantines()) {
            writeParts(out, quarantine.parts());
            writeTime(out, quarantine.failedAt());
            writeTime(out, quarantine.expiresAt());
        }
    }

    private static void write(TProtocol out, PromptFailure failure) throws TException {
        PeerMessageCodec.writeId(out, failure.engine().engine());
        out.writeString(failure.engine().incarnation().value());
        out.writeString(failure.request().value());
        writeTime(out, failure.sentAt());
        writeTime(out, failure.failedAt());
        writeParts(out, failure.parts());
    }

    private static void writeTime(TProtocol out, long nanos) throws TException {
        out.writeI64(Math.floorDiv(nanos, NANOS_PER_MILLI));
    }

    private static void writeParts(TProtocol out, Set<Long> parts) throws TException {
        out.writeI32(parts.size());
        for (long part : parts) {
            out.writeI64(part);
        }
    }

    static QuarantineReport read(TProtocol in) throws TException {
        List<PromptFailure> failures = new ArrayList<>();
        for (int i = PeerMessageCodec.readSize(in); i > 0; i--) {
            failures.add(readFailure(in));
        }
        Map<Long, Long> successes = new HashMap<>();
        for (int i = PeerMessageCodec.readSize(in); i > 0; i--) {
            successes.put(in.readI64(), readTime(in));
        }
        List<Quarantine> quarantines = new ArrayList<>();
        for (int i = PeerMessageCodec.readSize(in); i > 0; i--) {
            quarantines.add(new Quarantine(readParts(in), readTime(in), readTime(in)));
        }
        return new QuarantineReport(failures, successes, quarantines);
    }

    private static PromptFailure readFailure(TProtocol in) throws TException {
        EngineStart engine =
                new EngineStart(PeerMessageCodec.readId(in), Incarnation.of(in.readString()));
        return new PromptFailure(
                engine, RequestId.of(in.readString()), readTime(in), readTime(in), readParts(in));
    }

    /**
     * Reads a time in ns.
     *
     * @throws IllegalArgumentException if it is too far from the moment of the report
     */
    private static long readTime(TProtocol in) throws TException {
        long millis = in.readI64();
        if (millis < -Integer.MAX_VALUE || millis > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("invalid time in a peer message: " + millis);
        }
        return millis * NANOS_PER_MILLI;
    }

    private static Set<Long> readParts(TProtocol in) throws TException {
        Set<Long> parts = new HashSet<>();
        for (int i = PeerMessageCodec.readSize(in); i > 0; i--) {
            parts.add(in.readI64());
        }
        return parts;
    }
}
