package org.catkinproxy.configuration;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.revision.AcceptedSheet;
import org.catkinproxy.revision.RevisionMetadata;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;

import java.util.List;
import java.util.Optional;

/** The peers of an instance that runs alone. Stateless, and so safe for use by any thread. */
final class NoPeers implements RevisionPeers {
    @Override
    public Flowable<List<InstanceId>> peers() {
        return Flowable.just(List.<InstanceId>of()).concatWith(Flowable.never());
    }

    @Override
    public Flowable<Said> said() {
        return Flowable.never();
    }

    @Override
    public Single<Said> exchange(InstanceId peer) {
        return Single.error(unknown(peer));
    }

    @Override
    public Maybe<AcceptedSheet> fetch(
            InstanceId peer, RevisionMetadata wanted, Optional<AcceptedSheet> have) {
        return Maybe.error(unknown(peer));
    }

    private static CatkinException unknown(InstanceId peer) {
        return CatkinException.notRun(
                ErrorCode.PEER_UNREACHABLE, Step.GOSSIP, peer.value(), "there are no peers");
    }
}
