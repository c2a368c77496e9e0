package org.catkinproxy.configuration;

import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.Revision;
import org.catkinproxy.revision.AcceptedSheet;
import org.catkinproxy.revision.RevisionMetadata;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;

import java.util.List;
import java.util.Optional;

/**
 * The port to the other entry instances, as far as revisions go.
 *
 * <p>Every failure is a {@link org.catkinproxy.error.CatkinException}. Implementations are safe for
 * use by any thread.
 */
public interface RevisionPeers {
    /** An instance without peers. */
    RevisionPeers NONE = new NoPeers();

    /** Publishes the other entry instances, at once and whenever they change. */
    Flowable<List<InstanceId>> peers();

    /** Publishes what peers say on their own, with epoch {@code UNASKED}. */
    Flowable<Said> said();

    /** Tells a peer what is in force here, and returns what it has. */
    Single<Said> exchange(InstanceId peer);

    /**
     * Fetches the content of a revision; empty if the peer does not have it.
     *
     * @param have what is in force here, on which an answer may be based
     */
    Maybe<AcceptedSheet> fetch(
            InstanceId peer, RevisionMetadata wanted, Optional<AcceptedSheet> have);

    /** What a peer has in force, and whether it is sure to be up to date. */
    record Said(InstanceId peer, Optional<RevisionMetadata> head, boolean fresh) {
        /** Returns the revision that the peer has in force. */
        public Revision revision() {
            return head.map(RevisionMetadata::revision).orElse(Revision.NONE);
        }
    }
}
