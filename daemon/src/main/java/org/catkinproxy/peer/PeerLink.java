package org.catkinproxy.peer;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;

import org.apache.thrift.TException;
import org.catkinproxy.configuration.RevisionPeers;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.Revision;
import org.catkinproxy.member.LeaveNotice;
import org.catkinproxy.member.MemberState;
import org.catkinproxy.membership.MembershipTask;
import org.catkinproxy.peer.gen.EngineBlocks;
import org.catkinproxy.peer.gen.Exchange;
import org.catkinproxy.peer.gen.Peer;
import org.catkinproxy.peer.gen.SheetAnswer;
import org.catkinproxy.peer.gen.SheetRequest;
import org.catkinproxy.peer.gen.WarmAnswer;
import org.catkinproxy.peer.gen.WarmRequest;
import org.catkinproxy.revision.AcceptedSheet;
import org.catkinproxy.revision.RevisionMetadata;
import org.catkinproxy.route.RouteEvent;
import org.catkinproxy.settings.Listener;

import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.disposables.CompositeDisposable;
import io.reactivex.rxjava3.disposables.Disposable;
import io.reactivex.rxjava3.processors.FlowableProcessor;
import io.reactivex.rxjava3.processors.PublishProcessor;
import io.reactivex.rxjava3.schedulers.Schedulers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/**
 * This daemon's end of the protocol between daemons.
 *
 * <p>Each exchange carries, both ways, the revision in force, the news of leaving instances and the
 * load sent to engines. What comes in is posted to the tasks that own it. Safe for use by any
 * thread; blocking calls run on a bounded pool of threads of its own.
 */
public final class PeerLink implements RevisionPeers, Disposable {
    private static final int CALL_THREADS = 8;
    private static final int MAX_LOADS = 64;

    private final InstanceId mSelf;
    private final Incarnation mIncarnation;
    private final MembershipTask mMembership;
    private final PeerHooks mHooks;
    private final PeerTimeouts mTimeouts;
    private final Optional<PeerTls> mTls;
    private final PeerClient mClient;
    private final ExecutorService mThreads;
    private final Scheduler mCalls;
    private final SheetArchive mArchive = new SheetArchive();
    private final CompositeDisposable mSubscriptions = new CompositeDisposable();
    private final FlowableProcessor<Said> mSaid = PublishProcessor.<Said>create().toSerialized();
    private volatile InForce mInForce = InForce.NOTHING;
    private final Map<InstanceId, String> mOperatorAddresses = new ConcurrentHashMap<>();
    private volatile String mOperatorAddress = "";
    private volatile boolean mLeaving;
    private volatile PeerServer mServer;

    private PeerLink(
            InstanceId self,
            Incarnation incarnation,
            MembershipTask membership,
            PeerHooks hooks,
            PeerTimeouts timeouts,
            Optional<PeerTls> tls) {
        mSelf = checkNotNull(self, "self");
        mIncarnation = checkNotNull(incarnation, "incarnation");
        mMembership = checkNotNull(membership, "membership");
        mHooks = checkNotNull(hooks, "hooks");
        mTimeouts = timeouts;
        mTls = tls;
        mClient = new PeerClient(timeouts, tls);
        mThreads = Executors.newFixedThreadPool(CALL_THREADS, PeerLink::thread);
        mCalls = Schedulers.from(mThreads);
    }

    /** Creates the link of instance {@code self}; TLS is as the listener says, for both ends. */
    public static PeerLink create(
            InstanceId self,
            Incarnation incarnation,
            MembershipTask membership,
            PeerHooks hooks,
            PeerTimeouts timeouts,
            Listener listener) {
        Optional<PeerTls> tls = listener.tls().map(PeerTls::new);
        return new PeerLink(self, incarnation, membership, hooks, timeouts, tls);
    }

    /** Begins to answer peers, with what {@code inForce} says. */
    public void serve(Listener listener, InForce inForce, Flowable<?> changes) {
        mInForce = checkNotNull(inForce, "inForce");
        mSubscriptions.add(changes.subscribe(c -> inForce.sheet().ifPresent(mArchive::add)));
        mServer = PeerServer.open(listener.host(), listener.port(), new Handler(), mTimeouts, mTls);
    }

    /** Has peers told where operators reach this instance, as IP number and port. */
    public void tellOperatorAddress(String address) {
        mOperatorAddress = checkNotNull(address, "address");
    }

    /** Returns where operators reach an instance; empty if it has not said so. */
    public String operatorAddress(InstanceId instance) {
        return instance.equals(mSelf)
                ? mOperatorAddress
                : mOperatorAddresses.getOrDefault(instance, "");
    }

    /** Returns the port on which peers are answered. */
    public int port() {
        return mServer.port();
    }

    @Override
    public Flowable<List<InstanceId>> peers() {
        return mMembership.peers();
    }

    @Override
    public Flowable<Said> said() {
        return mSaid.onBackpressureBuffer();
    }

    @Override
    public Single<Said> exchange(InstanceId peer) {
        return call(
                peer,
                p -> {
                    Exchange mine = mine(List.of());
                    Exchange theirs = p.exchange(mine);
                    return receive(theirs);
                });
    }

    @Override
    public Maybe<AcceptedSheet> fetch(
            InstanceId peer, RevisionMetadata wanted, Optional<AcceptedSheet> have) {
        long revision = have.map(s -> s.revision().value()).orElse(Revision.NONE.value());
        SheetRequest request = new SheetRequest(PeerCodec.mark(wanted), revision);
        return call(peer, p -> SheetArchive.read(request, p.sheet(request), have))
                .mapOptional(s -> s);
    }

    /** Asks a peer for the blocks that it knows to be cached. */
    public Single<List<RouteEvent.CacheSnapshot>> warm(
            InstanceId peer, List<EngineId> engines, int limit) {
        List<String> names = engines.stream().map(EngineId::value).toList();
        return call(peer, p -> p.warm(new WarmRequest(names, limit)))
                .map(a -> a.getEngines().stream().map(PeerCodec::snapshot).toList());
    }

    /** Asks every peer which revision it has in force; those that do not answer are empty. */
    public Single<Map<InstanceId, Optional<Said>>> revisions() {
        return Flowable.fromIterable(mMembership.peersNow())
                .flatMapSingle(
                        p ->
                                exchange(p)
                                        .map(Optional::of)
                                        .onErrorReturnItem(Optional.empty())
                                        .map(s -> Map.entry(p, s)),
                        false,
                        CALL_THREADS)
                .collect(TreeMap::new, (map, e) -> map.put(e.getKey(), e.getValue()));
    }

    /** Tells every peer that this start leaves; fails if one of them could not be told. */
    public Completable announceLeave() {
        return Completable.defer(
                () -> {
                    mLeaving = true;
                    mMembership.stopAsked(mSelf);
                    return Flowable.fromIterable(mMembership.peersNow())
                            .flatMapCompletable(
                                    p -> exchange(p).ignoreElement(), true, CALL_THREADS);
                });
    }

    @Override
    public void dispose() {
        mSubscriptions.dispose();
        if (mServer != null) {
            mServer.close();
        }
        mClient.close();
        mThreads.shutdownNow();
    }

    @Override
    public boolean isDisposed() {
        return mSubscriptions.isDisposed();
    }

    private <T> Single<T> call(InstanceId peer, PeerClient.Call<T> call) {
        return Single.fromCallable(() -> mClient.call(address(peer), call))
                .subscribeOn(mCalls)
                .doOnError(e -> mMembership.failed(peer))
                .onErrorResumeNext(e -> Single.error(unreachable(peer, e)));
    }

    private HostAndPort address(InstanceId peer) throws TException {
        return mMembership
                .view()
                .find(peer)
                .map(MemberState::info)
                .filter(i -> !i.peerAddress().isEmpty())
                .map(i -> HostAndPort.fromString(i.peerAddress()))
                .orElseThrow(() -> new TException("no address of " + peer + " is known"));
    }

    private Exchange mine(List<LeaveNotice> more) {
        List<LeaveNotice> notes =
                new ArrayList<>(more.isEmpty() ? mMembership.notesToTell() : more);
        mMembership.told(notes);
        LeaveNotice own = new LeaveNotice(mSelf, mIncarnation);
        if (mLeaving && !notes.contains(own)) {
            notes.add(own);
        }
        Exchange mine =
                new Exchange(
                        mSelf.value(),
                        mIncarnation.value(),
                        mInForce.isFresh(),
                        PeerCodec.leaves(notes),
                        PeerCodec.loads(mHooks.inFlight(), MAX_LOADS),
                        mHooks.loadPermille());
        if (!mOperatorAddress.isEmpty()) {
            mine.setOperatorAddress(mOperatorAddress);
        }
        mInForce.sheet().ifPresent(s -> mine.setHead(PeerCodec.mark(s.metadata())));
        return mine;
    }

    private Said receive(Exchange theirs) {
        InstanceId peer = InstanceId.of(theirs.getInstance());
        Incarnation incarnation = Incarnation.of(theirs.getIncarnation());
        mMembership.answered(peer, incarnation, theirs.getLoadPermille());
        mMembership.heard(PeerCodec.notes(theirs));
        mHooks.peerLoad(PeerCodec.peerLoad(theirs));
        noteOperatorAddress(peer, theirs);
        Optional<RevisionMetadata> head =
                Optional.ofNullable(theirs.getHead()).map(PeerCodec::head);
        return new Said(peer, head, theirs.isFresh());
    }

    private void noteOperatorAddress(InstanceId peer, Exchange theirs) {
        if (theirs.isSetOperatorAddress()) {
            mOperatorAddresses.put(peer, theirs.getOperatorAddress());
        }
        mOperatorAddresses.keySet().removeIf(i -> mMembership.view().find(i).isEmpty());
    }

    private static CatkinException unreachable(InstanceId peer, Throwable cause) {
        return CatkinException.of(
                ErrorCode.PEER_UNREACHABLE,
                Step.GOSSIP,
                peer.value(),
                Outcome.UNKNOWN,
                "the peer did not answer: " + cause.getMessage(),
                cause);
    }

    private static Thread thread(Runnable task) {
        Thread thread = new Thread(task, "peer-call");
        thread.setDaemon(true);
        return thread;
    }

    /** What this daemon has in force. Implementations are safe for use by any thread. */
    public interface InForce {
        /** Nothing, surely out of date. */
        InForce NOTHING =
                new InForce() {
                    @Override
                    public Optional<AcceptedSheet> sheet() {
                        return Optional.empty();
                    }

                    @Override
                    public boolean isFresh() {
                        return false;
                    }
                };

        /** Returns the sheet in force, if there is one. */
        Optional<AcceptedSheet> sheet();

        /** Tells whether it is surely the newest. */
        boolean isFresh();
    }

    /** Answers the calls of peers, on the server's threads. */
    private final class Handler implements Peer.Iface {
        @Override
        public Exchange exchange(Exchange theirs) {
            boolean known =
                    mMembership.hasHeard(
                            InstanceId.of(theirs.getInstance()),
                            Incarnation.of(theirs.getIncarnation()));
            mSaid.onNext(receive(theirs));
            // A peer that has just started has missed all earlier news.
            return mine(known ? List.of() : mMembership.allNotes());
        }

        @Override
        public SheetAnswer sheet(SheetRequest request) {
            return mArchive.answer(request);
        }

        @Override
        public WarmAnswer warm(WarmRequest request) {
            List<EngineId> engines = request.getEngines().stream().map(EngineId::of).toList();
            List<EngineBlocks> blocks =
                    mHooks.cache(engines, request.getLimit()).stream()
                            .map(PeerCodec::blocks)
                            .toList();
            return new WarmAnswer(blocks);
        }
    }
}
