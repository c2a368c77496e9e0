package org.catkinproxy.peer;

import org.catkinproxy.id.BlockKey;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.Revision;
import org.catkinproxy.member.LeaveNotice;
import org.catkinproxy.peer.gen.EngineBlocks;
import org.catkinproxy.peer.gen.EngineLoad;
import org.catkinproxy.peer.gen.Exchange;
import org.catkinproxy.peer.gen.HeadMark;
import org.catkinproxy.peer.gen.Leave;
import org.catkinproxy.peer.gen.SheetHunk;
import org.catkinproxy.revision.ChangeId;
import org.catkinproxy.revision.RevisionMetadata;
import org.catkinproxy.revision.SheetDelta;
import org.catkinproxy.route.RouteEvent;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Turns the protocol's structures into the product's values, and back. Stateless. */
final class PeerCodec {
    private static final int BLOCK_BYTES = 2 * Long.BYTES;

    private PeerCodec() {}

    static HeadMark mark(RevisionMetadata head) {
        return new HeadMark(
                head.revision().value(),
                head.change().value(),
                head.digest(),
                head.operator(),
                head.acceptedMillis());
    }

    static RevisionMetadata head(HeadMark mark) {
        return new RevisionMetadata(
                Revision.of(mark.getRevision()),
                ChangeId.of(mark.getChange()),
                mark.getDigest(),
                mark.getOperatorName(),
                mark.getAcceptedMillis());
    }

    static List<Leave> leaves(List<LeaveNotice> notes) {
        return notes.stream()
                .map(n -> new Leave(n.instance().value(), n.incarnation().value()))
                .toList();
    }

    static List<LeaveNotice> notes(Exchange exchange) {
        return exchange.getLeaves().stream()
                .map(
                        l ->
                                new LeaveNotice(
                                        InstanceId.of(l.getInstance()),
                                        Incarnation.of(l.getIncarnation())))
                .toList();
    }

    /** Returns the loads of the {@code limit} engines with the most requests. */
    static List<EngineLoad> loads(Map<EngineId, RouteEvent.InFlight> inFlight, int limit) {
        return inFlight.entrySet().stream()
                .map(
                        e ->
                                new EngineLoad(
                                        e.getKey().value(),
                                        e.getValue().requests(),
                                        e.getValue().uncachedTokens()))
                .sorted((a, b) -> Integer.compare(b.getRequests(), a.getRequests()))
                .limit(limit)
                .toList();
    }

    static RouteEvent.PeerLoad peerLoad(Exchange exchange) {
        Map<EngineId, RouteEvent.InFlight> inFlight = new HashMap<>();
        for (EngineLoad load : exchange.getLoads()) {
            inFlight.put(
                    EngineId.of(load.getEngine()),
                    new RouteEvent.InFlight(load.getRequests(), load.getUncachedTokens()));
        }
        return new RouteEvent.PeerLoad(InstanceId.of(exchange.getInstance()), inFlight);
    }

    static List<SheetHunk> hunks(SheetDelta delta) {
        return delta.hunks().stream()
                .map(h -> new SheetHunk(h.startIndex(), h.removedCount(), h.insertedLines()))
                .toList();
    }

    static SheetDelta delta(List<SheetHunk> hunks) {
        return new SheetDelta(
                hunks.stream()
                        .map(
                                h ->
                                        new SheetDelta.Hunk(
                                                h.getStart(), h.getRemoved(), h.getInserted()))
                        .toList());
    }

    static EngineBlocks blocks(RouteEvent.CacheSnapshot snapshot) {
        ByteBuffer bytes = ByteBuffer.allocate(snapshot.blocks().size() * BLOCK_BYTES);
        snapshot.blocks().forEach(b -> bytes.putLong(b.high()).putLong(b.low()));
        return new EngineBlocks(
                snapshot.engine().value(),
                snapshot.incarnation().value(),
                snapshot.sequence(),
                bytes.flip());
    }

    static RouteEvent.CacheSnapshot snapshot(EngineBlocks engine) {
        ByteBuffer bytes = ByteBuffer.wrap(engine.getBlocks());
        List<BlockKey> blocks = new ArrayList<>();
        while (bytes.remaining() >= BLOCK_BYTES) {
            blocks.add(new BlockKey(bytes.getLong(), bytes.getLong()));
        }
        return new RouteEvent.CacheSnapshot(
                EngineId.of(engine.getEngine()),
                Incarnation.of(engine.getIncarnation()),
                engine.getSequence(),
                blocks);
    }
}
