package org.catkinproxy.gateway;

import org.apache.thrift.TException;
import org.apache.thrift.protocol.TProtocol;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.quarantine.PromptFailure;
import org.catkinproxy.quarantine.Quarantine;
import org.catkinproxy.quarantine.QuarantineReport;
import org.catkinproxy.serving.UpstreamStart;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
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
            writeKey(out, failure.key());
            writeTime(out, failure.sentAt());
            writeTime(out, failure.failedAt());
            writeParts(out, failure.suspects());
        }
        writeParts(out, report.provenParts());
        out.writeI32(report.quarantines().size());
        for (Quarantine quarantine : report.quarantines()) {
            writeKey(out, quarantine.key().newestFailure());
            writeParts(out, quarantine.key().initialParts());
            writeParts(out, quarantine.parts());
            writeTime(out, quarantine.expiresAt());
        }
    }

    private static void writeKey(TProtocol out, PromptFailure.Key key) throws TException {
        PeerMessageCodec.writeId(out, key.engine().upstream());
        out.writeString(key.engine().incarnation().value());
        out.writeString(key.request().value());
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
            failures.add(new PromptFailure(readKey(in), readTime(in), readTime(in), readParts(in)));
        }
        Set<Long> provenParts = readParts(in);
        List<Quarantine> quarantines = new ArrayList<>();
        for (int i = PeerMessageCodec.readSize(in); i > 0; i--) {
            Quarantine.Key key = new Quarantine.Key(readKey(in), readParts(in));
            quarantines.add(new Quarantine(key, readParts(in), readTime(in)));
        }
        return new QuarantineReport(failures, provenParts, quarantines);
    }

    private static PromptFailure.Key readKey(TProtocol in) throws TException {
        UpstreamStart engine =
                new UpstreamStart(PeerMessageCodec.readId(in), Incarnation.of(in.readString()));
        return new PromptFailure.Key(engine, RequestId.of(in.readString()));
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
