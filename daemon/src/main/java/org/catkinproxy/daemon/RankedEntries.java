package org.catkinproxy.daemon;

import org.catkinproxy.caller.EntryDirectory;
import org.catkinproxy.member.EntryRanking;
import org.catkinproxy.membership.MembershipTask;

import java.time.Duration;
import java.util.List;

/** Names entry instances to callers, ranked for each. Safe for use by any thread. */
final class RankedEntries implements EntryDirectory {
    private static final int MAX_ENTRIES = 8;

    private final MembershipTask mMembership;
    private final Duration mTtl;

    RankedEntries(MembershipTask membership, Duration ttl) {
        mMembership = membership;
        mTtl = ttl;
    }

    @Override
    public List<Entry> entries(String caller) {
        return EntryRanking.rank(mMembership.view(), caller, MAX_ENTRIES).stream()
                .map(i -> new Entry(i.id(), i.address()))
                .toList();
    }

    @Override
    public long ttlMillis() {
        return mTtl.toMillis();
    }
}
