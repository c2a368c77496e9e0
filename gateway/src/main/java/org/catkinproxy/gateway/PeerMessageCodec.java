package org.catkinproxy.gateway;

import com.google.common.net.HostAndPort;

import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.apache.thrift.transport.TTransportException;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.ModelId;
import org.catkinproxy.serving.PeerLoads;
import org.catkinproxy.serving.RolloutState;
import org.catkinproxy.serving.StorePosition;
import org.catkinproxy.serving.UpstreamStart;

import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Encodes and decodes the messages between instances.
 *
 * <p>A message starts with the version of the format. Its values follow in Thrift's compact
 * encoding without field ids, so that messages of other format versions are rejected. Stateless,
 * and so safe for use by any thread.
 */
final class PeerMessageCodec {
    private static final byte FORMAT_VERSION = 5;
    private static final byte HEARTBEAT = 1;
    private static final byte CACHE_UPDATE = 2;
    private static final byte ROLLOUT_UPDATE = 3;
    private static final byte QUARANTINE_UPDATE = 4;
    private static final byte LIMIT_UPDATE = 5;

    /** Limit for the length of a collection, so that a malformed length cannot exhaust memory. */
    private static final int MAX_ENTRIES = 1_000;

    private static final int INITIAL_BUFFER_BYTES = 512;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private PeerMessageCodec() {}

    /** Writes one value of a map. */
    private interface Writer<T> {
        void write(TProtocol out, T value) throws TException;
    }

    /** Reads one value of a map. */
    private interface Reader<T> {
        T read(TProtocol in) throws TException;
    }

    static byte[] encode(PeerMessage message) {
        try {
            TMemoryBuffer bytes = new TMemoryBuffer(INITIAL_BUFFER_BYTES);
            TProtocol out = new TCompactProtocol(bytes);
            out.writeByte(FORMAT_VERSION);
            out.writeString(message.instance().value());
            if (message instanceof PeerMessage.Heartbeat heartbeat) {
                writeHeartbeat(out, heartbeat);
            } else if (message instanceof PeerMessage.CacheUpdate update) {
                writeCacheUpdate(out, update);
            } else if (message instanceof PeerMessage.RolloutUpdate rollout) {
                writeRollout(out, rollout.state());
            } else if (message instanceof PeerMessage.QuarantineUpdate update) {
                out.writeByte(QUARANTINE_UPDATE);
                QuarantineReportCodec.write(out, update.report());
            } else if (message instanceof PeerMessage.LimitUpdate update) {
                out.writeByte(LIMIT_UPDATE);
                LimitReportCodec.write(out, update.report());
            }
            return Arrays.copyOf(bytes.getArray(), bytes.length());
        } catch (TException e) {
            throw new IllegalStateException("peer message cannot be encoded", e);
        }
    }

    private static void writeHeartbeat(TProtocol out, PeerMessage.Heartbeat heartbeat)
            throws TException {
        out.writeByte(HEARTBEAT);
        out.writeString(heartbeat.callerAddress().toString());
        out.writeString(heartbeat.peerAddress().toString());
        out.writeBool(heartbeat.ready());
        out.writeBool(heartbeat.storeReachable());
        writeOptionalTime(out, heartbeat.storeAnsweredNanosAgo());
        writeMap(
                out,
                heartbeat.loadByUpstream(),
                PeerMessageCodec::writeId,
                PeerMessageCodec::writeLoad);
        writeMap(
                out,
                heartbeat.tablePositions(),
                TProtocol::writeString,
                PeerMessageCodec::writePosition);
    }

    private static void writeOptionalTime(TProtocol out, OptionalLong nanos) throws TException {
        out.writeBool(nanos.isPresent());
        if (nanos.isPresent()) {
            writeTime(out, nanos.getAsLong());
        }
    }

    private static OptionalLong readOptionalTime(TProtocol in) throws TException {
        return in.readBool() ? OptionalLong.of(readTime(in)) : OptionalLong.empty();
    }

    private static void writePosition(TProtocol out, StorePosition position) throws TException {
        out.writeI64(position.era());
        out.writeI64(position.version());
    }

    static void writeId(TProtocol out, InstanceId id) throws TException {
        out.writeString(id.value());
    }

    private static void writeLoad(TProtocol out, PeerLoads.Load load) throws TException {
        out.writeI32(load.requests());
        out.writeI64(load.pendingTokens());
        out.writeI32(load.timedRequests());
        out.writeI64(load.generationMicros());
    }

    private static void writeCacheUpdate(TProtocol out, PeerMessage.CacheUpdate update)
            throws TException {
        out.writeByte(CACHE_UPDATE);
        out.writeString(update.cacheAddress().toString());
        out.writeBool(update.reset());
        writeMap(out, update.tokensByPartKey(), TProtocol::writeI64, TProtocol::writeI32);
    }

    private static void writeRollout(TProtocol out, RolloutState state) throws TException {
        out.writeByte(ROLLOUT_UPDATE);
        out.writeI32(state.changingEngines().size());
        for (InstanceId id : state.changingEngines()) {
            writeId(out, id);
        }
        writeMap(
                out,
                state.confirmedVersions(),
                PeerMessageCodec::writeId,
                PeerMessageCodec::writeWeights);
    }

    private static void writeWeights(TProtocol out, Map<ModelId, Integer> weights)
            throws TException {
        writeMap(out, weights, (o, model) -> o.writeString(model.value()), TProtocol::writeI32);
    }

    private static <K, V> void writeMap(
            TProtocol out, Map<K, V> map, Writer<K> keys, Writer<V> values) throws TException {
        out.writeI32(map.size());
        for (Map.Entry<K, V> entry : map.entrySet()) {
            keys.write(out, entry.getKey());
            values.write(out, entry.getValue());
        }
    }

    /**
     * Decodes a message.
     *
     * @throws IllegalArgumentException if the message is malformed or of another format version
     */
    static PeerMessage decode(byte[] bytes) {
        try {
            return decode(new TCompactProtocol(new TMemoryInputTransport(bytes)));
        } catch (TTransportException | IndexOutOfBoundsException e) {
            // Numbers are read from the array without a check for its end.
            throw new IllegalArgumentException("peer message is truncated", e);
        } catch (TException e) {
            throw new IllegalArgumentException("peer message is malformed", e);
        }
    }

    private static PeerMessage decode(TProtocol in) throws TException {
        byte formatVersion = in.readByte();
        if (formatVersion != FORMAT_VERSION) {
            throw new IllegalArgumentException(
                    "unsupported format version of a peer message: " + formatVersion);
        }
        InstanceId instance = readId(in);
        byte kind = in.readByte();
        return switch (kind) {
            case HEARTBEAT -> readHeartbeat(in, instance);
            case CACHE_UPDATE ->
                    new PeerMessage.CacheUpdate(
                            instance,
                            HostAndPort.fromString(in.readString()),
                            in.readBool(),
                            readMap(in, TProtocol::readI64, TProtocol::readI32));
            case ROLLOUT_UPDATE -> new PeerMessage.RolloutUpdate(instance, readRollout(in));
            case QUARANTINE_UPDATE ->
                    new PeerMessage.QuarantineUpdate(instance, QuarantineReportCodec.read(in));
            case LIMIT_UPDATE -> new PeerMessage.LimitUpdate(instance, LimitReportCodec.read(in));
            default -> throw new IllegalArgumentException("unknown kind of peer message: " + kind);
        };
    }

    private static PeerMessage readHeartbeat(TProtocol in, InstanceId instance) throws TException {
        return new PeerMessage.Heartbeat(
                instance,
                HostAndPort.fromString(in.readString()),
                HostAndPort.fromString(in.readString()),
                in.readBool(),
                in.readBool(),
                readOptionalTime(in),
                readMap(in, PeerMessageCodec::readId, PeerMessageCodec::readLoad),
                readMap(in, TProtocol::readString, PeerMessageCodec::readPosition));
    }

    private static StorePosition readPosition(TProtocol in) throws TException {
        return new StorePosition(in.readI64(), in.readI64());
    }

    static InstanceId readId(TProtocol in) throws TException {
        return InstanceId.named(in.readString());
    }

    private static PeerLoads.Load readLoad(TProtocol in) throws TException {
        return new PeerLoads.Load(in.readI32(), in.readI64(), in.readI32(), in.readI64());
    }

    private static RolloutState readRollout(TProtocol in) throws TException {
        int size = readSize(in);
        Set<InstanceId> changing = new HashSet<>();
        for (int i = 0; i < size; i++) {
            changing.add(readId(in));
        }
        return new RolloutState(
                changing, readMap(in, PeerMessageCodec::readId, PeerMessageCodec::readWeights));
    }

    private static Map<ModelId, Integer> readWeights(TProtocol in) throws TException {
        return readMap(in, i -> ModelId.named(i.readString()), TProtocol::readI32);
    }

    private static <K, V> Map<K, V> readMap(TProtocol in, Reader<K> keys, Reader<V> values)
            throws TException {
        int size = readSize(in);
        Map<K, V> map = new HashMap<>();
        for (int i = 0; i < size; i++) {
            map.put(keys.read(in), values.read(in));
        }
        return map;
    }

    static int readSize(TProtocol in) throws TException {
        int size = in.readI32();
        if (size < 0 || size > MAX_ENTRIES) {
            throw new IllegalArgumentException(
                    "invalid collection length in a peer message: " + size);
        }
        return size;
    }

    static void writeStart(TProtocol out, UpstreamStart start) throws TException {
        writeId(out, start.upstream());
        out.writeString(start.incarnation().value());
    }

    static UpstreamStart readStart(TProtocol in) throws TException {
        return new UpstreamStart(readId(in), Incarnation.of(in.readString()));
    }

    /** Writes a time, in ns relative to the moment of the message, in ms. */
    static void writeTime(TProtocol out, long nanos) throws TException {
        out.writeI64(Math.floorDiv(nanos, NANOS_PER_MILLI));
    }

    /**
     * Reads a time in ns.
     *
     * @throws IllegalArgumentException if it is too far from the moment of the message
     */
    static long readTime(TProtocol in) throws TException {
        long millis = in.readI64();
        if (millis < -Integer.MAX_VALUE || millis > Integer.MAX_VALUE) {
            throw new IllegalArgumentException("invalid time in a peer message: " + millis);
        }
        return millis * NANOS_PER_MILLI;
    }
}
