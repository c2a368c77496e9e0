package org.catkinproxy.gateway;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.serving.FleetIntervals;
import org.catkinproxy.serving.PeerLoads;
import org.catkinproxy.serving.ProberElection;
import org.catkinproxy.serving.UpstreamState;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.InternetProtocolFamily;
import io.netty.channel.socket.nio.NioDatagramChannel;

import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Exchanges messages with the other instances in datagrams.
 *
 * <p>Messages are hints that are outdated soon, so that lost datagrams are not sent again. Used by
 * the event loop only.
 */
final class PeerMessenger {
    /** Limit for the upstreams in a heartbeat; an instance has open requests at few upstreams. */
    private static final int MAX_UPSTREAMS_PER_HEARTBEAT = 60;

    private static final int MAX_DATAGRAM_BYTES = 8 * 1024;
    private static final int RECEIVE_BUFFER_BYTES = 256 * 1024;

    private final Gateway mGateway;
    private final InetSocketAddress mAddress;
    private Channel mChannel;

    PeerMessenger(Gateway gateway, InetSocketAddress address) {
        mGateway = gateway;
        mAddress = address;
    }

    /** Opens the socket and starts to send heartbeats. */
    ChannelFuture start() {
        ChannelFuture bound =
                new Bootstrap()
                        .group(mGateway.loop())
                        .channelFactory(() -> new NioDatagramChannel(InternetProtocolFamily.IPv4))
                        .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                        .handler(new Receiver())
                        .bind(mAddress);
        mChannel = bound.channel();
        scheduleHeartbeats();
        return bound;
    }

    private void scheduleHeartbeats() {
        long interval = FleetIntervals.heartbeatInterval(mGateway.instanceCount()).toMillis();
        mGateway.loop().schedule(this::scheduleHeartbeats, interval, TimeUnit.MILLISECONDS);
        sendHeartbeat();
    }

    /** Sends the current state of this instance to all peers, and at times to silent ones. */
    void sendHeartbeat() {
        PeerMessage.Heartbeat heartbeat = heartbeat();
        send(heartbeat);
        send(heartbeat, mGateway.instanceRegistry().silentPeersToProbe());
        mGateway.promptGuard().repeatReport();
        mGateway.limitGuard().repeatReport();
    }

    /** Sends the current state to those that take over as prober if this instance fails. */
    void sendHeartbeatToProberCandidates() {
        Map<InstanceId, InetSocketAddress> peers = mGateway.instanceRegistry().peerAddresses();
        send(
                heartbeat(),
                ProberElection.candidates(peers.keySet()).stream().map(peers::get).toList());
    }

    private PeerMessage.Heartbeat heartbeat() {
        return mGateway.instanceRegistry()
                .heartbeat(loadByUpstream(), mGateway.tableWatches().positions());
    }

    private Map<InstanceId, PeerLoads.Load> loadByUpstream() {
        Map<InstanceId, PeerLoads.Load> loadByUpstream = new HashMap<>();
        for (UpstreamState state : mGateway.upstreamTracker().allStates()) {
            if (state.inFlight() > 0 && loadByUpstream.size() < MAX_UPSTREAMS_PER_HEARTBEAT) {
                loadByUpstream.put(
                        state.upstream().id(),
                        new PeerLoads.Load(state.inFlight(), state.pendingTokens())
                                .withNanosPerOutputToken(state.nanosPerOutputToken()));
            }
        }
        return loadByUpstream;
    }

    /** Sends a message to all peers without a guarantee of delivery. */
    void send(PeerMessage message) {
        send(message, mGateway.instanceRegistry().peerAddresses().values());
    }

    /** Sends a message to some peers without a guarantee of delivery. */
    void send(PeerMessage message, Collection<InetSocketAddress> peers) {
        if (mChannel == null || !mChannel.isActive() || peers.isEmpty()) {
            return;
        }
        byte[] bytes = PeerMessageCodec.encode(message);
        for (InetSocketAddress peer : peers) {
            mChannel.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer));
        }
        mChannel.flush();
    }

    private void handle(PeerMessage message, InetSocketAddress sender) {
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            handleHeartbeat(heartbeat, sender);
        } else if (!sender.equals(
                mGateway.instanceRegistry().peerAddresses().get(message.instance()))) {
            return;
        } else if (message instanceof PeerMessage.CacheUpdate update) {
            mGateway.cacheTracker().onPeerUpdate(update);
        } else if (message instanceof PeerMessage.RolloutUpdate rollout) {
            mGateway.rolloutBroadcast().onPeerState(rollout.state());
        } else if (message instanceof PeerMessage.QuarantineUpdate update) {
            mGateway.promptGuard().onPeerReport(update);
        } else if (message instanceof PeerMessage.LimitUpdate update) {
            mGateway.limitGuard().onPeerReport(update);
        }
    }

    private void handleHeartbeat(PeerMessage.Heartbeat heartbeat, InetSocketAddress sender) {
        if (!mGateway.instanceRegistry().onHeartbeat(heartbeat, sender)) {
            return;
        }
        mGateway.peerLoads()
                .update(heartbeat.instance(), heartbeat.loadByUpstream(), mGateway.now());
        heartbeat.tablePositions().forEach(mGateway.tableWatches()::onPositionHint);
        heartbeat
                .storeAnsweredNanosAgo()
                .ifPresent(
                        nanosAgo ->
                                mGateway.upstreamTracker()
                                        .onPeerAnswered(mGateway.now() - nanosAgo));
        if (!heartbeat.storeReachable()) {
            mGateway.onPeerStoreOutage();
        }
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            if (packet.content().readableBytes() > MAX_DATAGRAM_BYTES) {
                return;
            }
            try {
                handle(
                        PeerMessageCodec.decode(ByteBufUtil.getBytes(packet.content())),
                        packet.sender());
            } catch (IllegalArgumentException e) {
                mGateway.log()
                        .record(
                                GatewayEvent.PEER_NEWS_UNREADABLE,
                                "sender",
                                packet.sender(),
                                "reason",
                                e.getMessage());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            mGateway.log().record(GatewayEvent.TASK_FAILED, "task", "peers", "reason", cause);
        }
    }
}
