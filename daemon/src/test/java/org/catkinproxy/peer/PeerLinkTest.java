package org.catkinproxy.peer;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

import org.catkinproxy.config.Configuration;
import org.catkinproxy.configuration.FakeStore;
import org.catkinproxy.configuration.RevisionPeers.Said;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.id.BlockKey;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.Revision;
import org.catkinproxy.route.RouteEvent;
import org.catkinproxy.settings.TlsFiles;

import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.processors.ReplayProcessor;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URISyntaxException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

final class PeerLinkTest {
    private static final String HEADER =
            "kind,workspace,model,adapter,version,pool,instance,service,match,value\n";
    private static final InstanceId A = InstanceId.of("a");
    private static final InstanceId B = InstanceId.of("b");
    private static final long WAIT_SECONDS = 30;

    private final FakeStore mStore = new FakeStore();
    private final Map<String, Integer> mPorts = new ConcurrentHashMap<>();
    private final List<AutoCloseable> mOpen = new ArrayList<>();

    @AfterTry
    void close() throws Exception {
        for (AutoCloseable open : mOpen) {
            open.close();
        }
    }

    @Example
    void revisionsReachPeersThatCannotReadTheStore() {
        TestInstance a = start("a", mStore);
        TestInstance b = start("b", down());
        a.awaitPeers(1);
        b.awaitPeers(1);
        apply(a, "one", 0);
        assertThat(workspace(b.awaitRevision(1))).isEqualTo("one");
        apply(a, "two", 1);
        assertThat(workspace(b.awaitRevision(2))).isEqualTo("two");
        assertThat(b.mConfig.inForce()).isEqualTo(a.mConfig.inForce());
    }

    @Example
    void restartedInstanceServesFromPeersWhileTheStoreIsDown() {
        TestInstance a = start("a", mStore);
        apply(a, "one", 0);
        TestInstance b = start("b", mStore);
        b.awaitRevision(1);
        mStore.setDown(true);
        TestInstance c = start("c", mStore);
        assertThat(workspace(c.awaitRevision(1))).isEqualTo("one");
        awaitTrue(c.mConfig::isFresh);
    }

    @Example
    void connectionThatWentSilentIsReplaced() throws IOException {
        TestInstance b = start("b", down());
        SilentProxy proxy = new SilentProxy(b.mLink.port());
        mOpen.add(proxy);
        mPorts.put("b", proxy.port());
        TestInstance a = start("a", mStore);
        a.awaitPeers(1);
        assertThat(a.mLink.exchange(B).blockingGet().peer()).isEqualTo(B);
        int before = proxy.connections();
        proxy.forgetOpenConnections();
        assertThat(a.mLink.exchange(B).blockingGet().peer()).isEqualTo(B);
        assertThat(proxy.connections()).isGreaterThan(before);
    }

    @Example
    void peerWithForeignCertificateIsRefused() {
        TestInstance a = start("a", mStore, tls("peer", "peer"));
        TestInstance b = start("b", down(), tls("peer", "peer"));
        // It trusts the others, but they do not trust it.
        TestInstance stranger = start("stranger", down(), tls("stranger", "peer"));
        TestInstance plain = start("plain", down());
        for (TestInstance instance : List.of(a, b, stranger, plain)) {
            instance.awaitPeers(3);
        }
        apply(a, "one", 0);
        assertThat(workspace(b.awaitRevision(1))).isEqualTo("one");
        assertThat(a.mLink.exchange(B).blockingGet().revision()).isEqualTo(Revision.of(1));
        assertThat(code(stranger.mLink.exchange(A).test())).isEqualTo(ErrorCode.PEER_UNREACHABLE);
        assertThat(code(plain.mLink.exchange(A).test())).isEqualTo(ErrorCode.PEER_UNREACHABLE);
        assertThat(stranger.mConfig.current()).isEqualTo(Configuration.EMPTY);
    }

    @Example
    void leaveIsKnownToPeersWhenItHasBeenAnnounced() {
        TestInstance a = start("a", mStore);
        TestInstance b = start("b", mStore);
        a.awaitPeers(1);
        b.awaitPeers(1);
        a.mLink.announceLeave().blockingAwait();
        awaitTrue(() -> !b.mMembership.view().isUsable(A));
        assertThat(b.mMembership.view().find(A).get().leaving()).isTrue();
        TestInstance late = start("late", mStore);
        late.awaitPeers(2);
        mPorts.remove("a");
        late.mLink.exchange(B).blockingGet();
        awaitTrue(() -> late.mMembership.allNotes().stream().anyMatch(n -> n.instance().equals(A)));
    }

    @Example
    void loadAndCachePassBetweenRouters() {
        EngineId engine = EngineId.of("engine");
        BlockKey block = new BlockKey(1, -2);
        RouteEvent.CacheSnapshot known =
                new RouteEvent.CacheSnapshot(engine, Incarnation.of("i"), 7, List.of(block));
        ReplayProcessor<RouteEvent.PeerLoad> heard = ReplayProcessor.create();
        TestInstance a = start("a", mStore, Optional.empty(), hooks(engine, known, heard));
        TestInstance b = start("b", mStore, Optional.empty(), hooks(engine, known, heard));
        b.awaitPeers(1);
        b.mLink.exchange(A).blockingGet();
        RouteEvent.PeerLoad load = heard.filter(l -> l.peer().equals(A)).blockingFirst();
        assertThat(load.inFlight()).containsExactly(engine, new RouteEvent.InFlight(3, 400));
        assertThat(b.mLink.warm(A, List.of(engine), 10).blockingGet()).containsExactly(known);
    }

    @Example
    void frameAboveTheLimitClosesTheConnection() throws IOException {
        TestInstance a = start("a", mStore);
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), a.mLink.port())) {
            OutputStream out = socket.getOutputStream();
            out.write(ByteBuffer.allocate(4).putInt(PeerTransport.MAX_FRAME_BYTES + 1).array());
            out.flush();
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Example
    void revisionOfEveryInstanceIsListed() {
        TestInstance a = start("a", mStore);
        apply(a, "one", 0);
        TestInstance b = start("b", mStore);
        b.awaitRevision(1);
        mPorts.put("gone", 1);
        a.awaitPeers(2);
        Map<InstanceId, Optional<Said>> said = a.mLink.revisions().blockingGet();
        assertThat(said.keySet()).containsExactly(B, InstanceId.of("gone"));
        assertThat(said.get(B).get().revision()).isEqualTo(Revision.of(1));
        assertThat(said.get(InstanceId.of("gone"))).isEqualTo(Optional.empty());
    }

    private TestInstance start(String name, FakeStore store) {
        return start(name, store, Optional.empty());
    }

    private TestInstance start(String name, FakeStore store, Optional<TlsFiles> tls) {
        return start(name, store, tls, PeerHooks.NONE);
    }

    private TestInstance start(
            String name, FakeStore store, Optional<TlsFiles> tls, PeerHooks hooks) {
        TestInstance instance = TestInstance.start(name, store, mPorts, tls, hooks);
        mOpen.add(instance);
        return instance;
    }

    private static FakeStore down() {
        FakeStore store = new FakeStore();
        store.setDown(true);
        return store;
    }

    private static void apply(TestInstance instance, String workspace, long expected) {
        String sheet = HEADER + "workspace," + workspace + ",,,,,,,,\n";
        instance.mConfig.apply(sheet, Revision.of(expected), "op").blockingGet();
    }

    private static String workspace(Configuration configuration) {
        return configuration.workspaces().get(0).id().value();
    }

    private static Optional<TlsFiles> tls(String owner, String trusted) {
        return Optional.of(
                new TlsFiles(
                        file(owner + "-cert.pem"),
                        file(owner + "-key.pem"),
                        Optional.of(file(trusted + "-trust.pem"))));
    }

    private static Path file(String name) {
        try {
            return Path.of(PeerLinkTest.class.getResource(name).toURI());
        } catch (URISyntaxException e) {
            throw new IllegalStateException(e);
        }
    }

    private static PeerHooks hooks(
            EngineId engine,
            RouteEvent.CacheSnapshot known,
            ReplayProcessor<RouteEvent.PeerLoad> heard) {
        return new PeerHooks() {
            @Override
            public Map<EngineId, RouteEvent.InFlight> inFlight() {
                return Map.of(engine, new RouteEvent.InFlight(3, 400));
            }

            @Override
            public synchronized void peerLoad(RouteEvent.PeerLoad load) {
                heard.onNext(load);
            }

            @Override
            public List<RouteEvent.CacheSnapshot> cache(List<EngineId> engines, int limit) {
                return engines.contains(engine) ? List.of(known) : List.of();
            }
        };
    }

    private static ErrorCode code(TestObserver<?> observer) {
        observer.awaitDone(WAIT_SECONDS, TimeUnit.SECONDS);
        List<ErrorCode> found = new ArrayList<>();
        observer.assertError(e -> found.add(((CatkinException) e).code()));
        return found.get(0);
    }

    private static void awaitTrue(BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            assertThat(System.nanoTime() - end).isLessThan(0L);
            Thread.onSpinWait();
        }
    }
}
