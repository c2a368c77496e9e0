package org.catkinproxy.serving;

import java.util.ArrayList;
import java.util.List;

/** Records what a registry of upstreams reports. Used by the test's thread only. */
final class RecordingRegistryListener implements UpstreamRegistry.Listener {
    private final List<String> mEvents = new ArrayList<>();

    @Override
    public void onDraining(Upstream upstream) {
        mEvents.add("draining " + upstream.listingVersion());
    }

    @Override
    public void onOlderEntry(Upstream upstream, ListingVersion known) {
        mEvents.add("older " + upstream.listingVersion() + " than " + known);
    }

    @Override
    public void onRetained(Upstream upstream) {
        mEvents.add("retained " + upstream.listingVersion());
    }

    /** Returns what was reported, in order. */
    List<String> events() {
        return mEvents;
    }
}
