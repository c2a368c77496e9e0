package org.catkinproxy.peer;

import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolFactory;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.TTransportFactory;
import org.apache.thrift.transport.layered.TFramedTransport;

/** The bounds and the encoding of messages, the same at both ends. Stateless. */
final class PeerTransport {
    /** Holds a compressed sheet of the largest size, or the blocks of a warm-up. */
    static final int MAX_FRAME_BYTES = 8 * 1024 * 1024;

    /** The largest sheet, unpacked. */
    static final int MAX_SHEET_BYTES = 32 * 1024 * 1024;

    private static final long MAX_ELEMENTS = 1_000_000;

    private PeerTransport() {}

    static TTransportFactory frames() {
        return new TFramedTransport.Factory(MAX_FRAME_BYTES);
    }

    static TProtocolFactory protocols() {
        return new TCompactProtocol.Factory(MAX_FRAME_BYTES, MAX_ELEMENTS);
    }

    static TProtocol protocol(TTransport socket) throws TTransportException {
        return protocols().getProtocol(frames().getTransport(socket));
    }
}
