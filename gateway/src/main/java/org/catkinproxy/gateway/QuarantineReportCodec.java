package org.catkinproxy.gateway;

import org.apache.thrift.TException;
import org.apache.thrift.protocol.TProtocol;
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
 * <p>Stateless, and so safe for use by any thread.
 */
final class QuarantineReportCodec {
    private QuarantineReportCodec() {}

    static void write(TProtocol out, QuarantineReport report) throws TException {
        out.writeI32(report.failures().size());
        for (PromptFailure failure : report.failures()) {
            writeKey(out, failure.key());
            PeerMessageCodec.writeTime(out, failure.sentAt());
            PeerMessageCodec.writeTime(out, failure.failedAt());
            out.writeBool(failure.late());
            writeParts(out, failure.suspects());
        }
        writeParts(out, report.provenParts());
        out.writeI32(report.quarantines().size());
        for (Quarantine quarantine : report.quarantines()) {
            writeKey(out, quarantine.key().newestFailure());
            writeParts(out, quarantine.key().initialParts());
            writeParts(out, quarantine.parts());
            PeerMessageCodec.writeTime(out, quarantine.expiresAt());
        }
    }

    private static void writeKey(TProtocol out, PromptFailure.Key key) throws TException {
        PeerMessageCodec.writeStart(out, key.engine());
        out.writeString(key.request().value());
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
            failures.add(
                    new PromptFailure(
                            readKey(in),
                            PeerMessageCodec.readTime(in),
                            PeerMessageCodec.readTime(in),
                            in.readBool(),
                            readParts(in)));
        }
        Set<Long> provenParts = readParts(in);
        List<Quarantine> quarantines = new ArrayList<>();
        for (int i = PeerMessageCodec.readSize(in); i > 0; i--) {
            Quarantine.Key key = new Quarantine.Key(readKey(in), readParts(in));
            quarantines.add(new Quarantine(key, readParts(in), PeerMessageCodec.readTime(in)));
        }
        return new QuarantineReport(failures, provenParts, quarantines);
    }

    private static PromptFailure.Key readKey(TProtocol in) throws TException {
        UpstreamStart engine = PeerMessageCodec.readStart(in);
        return new PromptFailure.Key(engine, RequestId.named(in.readString()));
    }

    private static Set<Long> readParts(TProtocol in) throws TException {
        Set<Long> parts = new HashSet<>();
        for (int i = PeerMessageCodec.readSize(in); i > 0; i--) {
            parts.add(in.readI64());
        }
        return parts;
    }
}
