package org.catkinproxy.gateway;

import org.apache.thrift.TException;
import org.apache.thrift.protocol.TProtocol;
import org.catkinproxy.limit.LimitReport;
import org.catkinproxy.limit.RequestLimit;
import org.catkinproxy.serving.UpstreamStart;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Encodes and decodes reports of upstreams' limits, as parts of a peer message.
 *
 * <p>Stateless, and so safe for use by any thread.
 */
final class LimitReportCodec {
    private LimitReportCodec() {}

    static void write(TProtocol out, LimitReport report) throws TException {
        out.writeI32(report.limits().size());
        for (RequestLimit limit : report.limits()) {
            PeerMessageCodec.writeStart(out, limit.upstream());
            out.writeBool(limit.perSecond().isPresent());
            out.writeDouble(limit.perSecond().orElse(0));
            PeerMessageCodec.writeTime(out, limit.respondedAt());
        }
    }

    static LimitReport read(TProtocol in) throws TException {
        List<RequestLimit> limits = new ArrayList<>();
        for (int i = PeerMessageCodec.readSize(in); i > 0; i--) {
            UpstreamStart upstream = PeerMessageCodec.readStart(in);
            boolean isLimited = in.readBool();
            double perSecond = in.readDouble();
            limits.add(
                    new RequestLimit(
                            upstream,
                            isLimited ? OptionalDouble.of(perSecond) : OptionalDouble.empty(),
                            PeerMessageCodec.readTime(in)));
        }
        return new LimitReport(limits);
    }
}
