package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.net.HostAndPort;

import net.jqwik.api.Example;

import org.catkinproxy.id.InstanceId;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

/** Tests the choice of upstreams and engines under typical load patterns. */
class UpstreamChooserTest {
    private static final double FETCH_NANOS = 7_000;
    private static final long DEADLINE = 15 * Samples.NANOS_PER_SECOND;

    private final PeerLoads mPeerLoads = PeerLoads.create();
    private final UpstreamChooser mChooser =
            UpstreamChooser.of(new SplittableRandom(1), mPeerLoads, SendPermission.UNLIMITED);
    private final DesiredVersions mVersions = DesiredVersions.of(10 * Samples.NANOS_PER_SECOND);

    private Optional<PromptStoreView> mPromptStore = Optional.empty();

    private UpstreamChooser.PlacementRequest placement(Prompt prompt) {
        return new UpstreamChooser.PlacementRequest(
                prompt, "*", mVersions, FETCH_NANOS, mPromptStore, DEADLINE);
    }

    private static List<UpstreamState> engines(int count) {
        List<UpstreamState> states = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            states.add(UpstreamState.of(Samples.engine("e" + i, 1)));
        }
        return states;
    }

    private static void fillCache(UpstreamState state, Prompt prompt, int parts) {
        for (int i = 0; i < parts; i++) {
            PromptPart part = prompt.parts().get(i);
            state.promptCache().setStoredTokens("*.1", part.id(), part.tokens());
        }
    }

    private Optional<UpstreamChooser.Choice> choose(List<UpstreamState> states, Prompt prompt) {
        return mChooser.chooseEngine(states, Set.of(), placement(prompt), 0);
    }

    @Example
    void promptGoesToTheEngineThatHasItCached() {
        List<UpstreamState> states = engines(5);
        Prompt prompt = Samples.prompt(2_000, 4_000, 1_000);
        fillCache(states.get(3), prompt, 2);

        UpstreamChooser.Choice choice = choose(states, prompt).orElseThrow();
        assertThat(choice.target()).isSameInstanceAs(states.get(3));
        assertThat(choice.uncachedTokens()).isEqualTo(1_000);
    }

    /**
     * The load pattern: most engines accept few requests a second, and a service has short prompts
     * and long ones. The others cannot compute all long prompts.
     */
    @Example
    void shortPromptsLeaveLimitedEnginesToLongOnes() {
        List<UpstreamState> states = engines(2);
        FakePermission permission = new FakePermission(states.get(0).upstream());
        UpstreamChooser chooser =
                UpstreamChooser.of(new SplittableRandom(1), mPeerLoads, permission);
        states.get(1).recordSent(30_000);
        int longToLimited = 0;
        int shortToLimited = 0;
        for (int i = 0; i < 100; i++) {
            Prompt prompt = i % 4 == 0 ? Samples.prompt(9_000) : Samples.prompt(800);
            boolean isLimited =
                    chooser.chooseEngine(states, Set.of(), placement(prompt), 0)
                            .filter(c -> c.target() == states.get(0))
                            .isPresent();
            longToLimited += isLimited && i % 4 == 0 ? 1 : 0;
            shortToLimited += isLimited && i % 4 != 0 ? 1 : 0;
        }
        assertThat(longToLimited).isEqualTo(25);
        assertThat(shortToLimited).isAtMost(1);
    }

    /** Without any other engine, short prompts use what a limited one accepts. */
    @Example
    void shortPromptsUseLimitedEngineIfThereIsNoOther() {
        List<UpstreamState> states = engines(1);
        FakePermission permission = new FakePermission(states.get(0).upstream());
        UpstreamChooser chooser =
                UpstreamChooser.of(new SplittableRandom(1), mPeerLoads, permission);
        for (int i = 0; i < 10; i++) {
            Prompt prompt = i % 2 == 0 ? Samples.prompt(9_000) : Samples.prompt(800);
            assertThat(chooser.chooseEngine(states, Set.of(), placement(prompt), 0)).isPresent();
        }
    }

    @Example
    void upstreamWithoutPermissionIsNotChosen() {
        List<UpstreamState> states = engines(2);
        FakePermission permission = new FakePermission(states.get(0).upstream());
        permission.mUsedUp = true;
        UpstreamChooser chooser =
                UpstreamChooser.of(new SplittableRandom(1), mPeerLoads, permission);
        for (int i = 0; i < 10; i++) {
            assertThat(chooser.chooseUpstream(states, Set.of(), 0).orElseThrow().target())
                    .isSameInstanceAs(states.get(1));
        }
        Set<InstanceId> excluded = Set.of(states.get(1).upstream().id());
        assertThat(chooser.chooseUpstream(states, excluded, 0)).isEmpty();
    }

    /** Limits one upstream, of whose limit nothing is spare. */
    private static final class FakePermission implements SendPermission {
        private final Upstream mLimited;
        private boolean mUsedUp;

        FakePermission(Upstream limited) {
            mLimited = limited;
        }

        @Override
        public boolean maySend(Upstream upstream, long now) {
            return !mUsedUp || !upstream.equals(mLimited);
        }

        @Override
        public boolean maySendSpare(Upstream upstream, long now) {
            return !upstream.equals(mLimited);
        }
    }

    @Example
    void hotPromptIsFetchedFromItsBusyEngine() {
        List<UpstreamState> states = engines(2);
        Prompt prompt = Samples.prompt(6_000, 200);
        fillCache(states.get(0), prompt, 1);
        states.get(0).recordSent(30_000);

        UpstreamChooser.Choice choice = choose(states, prompt).orElseThrow();
        assertThat(choice.target()).isSameInstanceAs(states.get(1));
        assertThat(choice.fetchFrom()).hasValue(states.get(0).upstream().address());
        assertThat(choice.uncachedTokens()).isEqualTo(200);
    }

    @Example
    void peerRequestsCountLikeOwnRequests() {
        List<UpstreamState> states = engines(2);
        Prompt prompt = Samples.prompt(200);
        InstanceId busy = choose(states, prompt).orElseThrow().target().upstream().id();
        mPeerLoads.update(InstanceId.of("peer"), Map.of(busy, new PeerLoads.Load(9, 30_000)), 0);

        assertThat(choose(states, prompt).orElseThrow().target().upstream().id())
                .isNotEqualTo(busy);
    }

    /**
     * Replays a scale day on which a third of the engines generate three times as slowly as the
     * others: long outputs there were cut at their callers' deadlines.
     */
    @Example
    void longOutputsGoToEnginesThatCompleteThemInTime() {
        List<UpstreamState> states = engines(6);
        for (int i = 0; i < states.size(); i++) {
            long nanosPerToken = (i < 2 ? 18 : 6) * Samples.NANOS_PER_MILLI;
            states.get(i).recordGeneration(1_000 * nanosPerToken, 1_000, true);
        }
        int cut = 0;
        for (int i = 0; i < 60; i++) {
            Prompt prompt = new Prompt(Samples.MODEL, 800, 1_000, List.of());
            UpstreamState target = choose(states, prompt).orElseThrow().target();
            target.recordSent(800);
            if (1_000 * target.nanosPerOutputToken() > DEADLINE) {
                cut++;
            }
        }
        assertThat(cut).isEqualTo(0);
    }

    /** Short outputs still use slow engines once the fast ones have a queue. */
    @Example
    void slowEnginesAreUsedForShortOutputsUnderLoad() {
        List<UpstreamState> states = engines(2);
        states.get(0).recordGeneration(180 * Samples.NANOS_PER_MILLI, 10, true);
        states.get(1).recordGeneration(60 * Samples.NANOS_PER_MILLI, 10, true);
        states.get(1).recordSent(9_000);

        Prompt prompt = new Prompt(Samples.MODEL, 800, 10, List.of());
        assertThat(choose(states, prompt).orElseThrow().target()).isSameInstanceAs(states.get(0));
    }

    /** In a large fleet, only peers have seen the streams of most engines. */
    @Example
    void speedSeenByPeersCounts() {
        List<UpstreamState> states = engines(2);
        InstanceId slow = states.get(0).upstream().id();
        PeerLoads.Load load = new PeerLoads.Load(1, 0);
        mPeerLoads.update(
                InstanceId.of("peer"),
                Map.of(
                        slow,
                        load.withNanosPerOutputToken(30 * Samples.NANOS_PER_MILLI),
                        states.get(1).upstream().id(),
                        load.withNanosPerOutputToken(6 * Samples.NANOS_PER_MILLI)),
                0);

        Prompt prompt = new Prompt(Samples.MODEL, 800, 1_000, List.of());
        assertThat(choose(states, prompt).orElseThrow().target()).isSameInstanceAs(states.get(1));
    }

    /** Sixty instances that see the same stale loads must not all choose the least busy engine. */
    @Example
    void manyInstancesDoNotHerdOnTheLeastBusyEngine() {
        List<UpstreamState> states = engines(40);
        Map<InstanceId, PeerLoads.Load> busy = new HashMap<>();
        states.stream()
                .skip(1)
                .forEach(s -> busy.put(s.upstream().id(), new PeerLoads.Load(5, 4_000)));
        for (int i = 0; i < 60; i++) {
            mPeerLoads.update(InstanceId.of("peer-" + i), i == 0 ? busy : Map.of(), 0);
        }

        Map<InstanceId, Integer> chosen = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            Prompt ownPrompt = Samples.prompt(800);
            chosen.merge(
                    choose(states, ownPrompt).orElseThrow().target().upstream().id(),
                    1,
                    Integer::sum);
        }
        assertThat(chosen.values().stream().mapToInt(Integer::intValue).max().getAsInt())
                .isLessThan(60 / 4);
    }

    @Example
    void samplingIncludesTheEngineThatHasThePrompt() {
        List<UpstreamState> states = engines(40);
        Prompt prompt = Samples.prompt(2_000, 4_000, 1_000);
        fillCache(states.get(17), prompt, 2);
        for (int i = 0; i < 60; i++) {
            mPeerLoads.update(InstanceId.of("peer-" + i), Map.of(), 0);
        }

        assertThat(choose(states, prompt).orElseThrow().target()).isSameInstanceAs(states.get(17));
    }

    /**
     * With many short prompts that share few parts, each shared part is computed once and then
     * copied.
     */
    @Example
    void shortSharedPartsAreFetched() {
        List<UpstreamState> states = engines(2);
        Prompt prompt = Samples.prompt(120, 80, 600);
        fillCache(states.get(0), prompt, 2);
        states.get(0).recordSent(30_000);

        UpstreamChooser.Choice choice = choose(states, prompt).orElseThrow();
        assertThat(choice.target()).isSameInstanceAs(states.get(1));
        assertThat(choice.fetchFrom()).hasValue(states.get(0).upstream().address());
    }

    @Example
    void nothingIsFetchedFromAnEngineWithOtherWeights() {
        List<UpstreamState> states = engines(1);
        UpstreamState other = UpstreamState.of(Samples.engine("old", 2));
        Prompt prompt = Samples.prompt(6_000, 200);
        fillCache(other, prompt, 1);
        other.promptCache().setStoredTokens("*.2", prompt.parts().get(0).id(), 6_000);
        other.recordSent(500_000);
        states.add(other);

        UpstreamChooser.Choice choice = choose(states, prompt).orElseThrow();
        assertThat(choice.target()).isSameInstanceAs(states.get(0));
        assertThat(choice.fetchFrom()).isEmpty();
    }

    @Example
    void equalUncachedPromptsGoToTheSameEngine() {
        Prompt prompt = Samples.prompt(2_000, 100);
        InstanceId first = choose(engines(7), prompt).orElseThrow().target().upstream().id();
        InstanceId second = choose(engines(7), prompt).orElseThrow().target().upstream().id();
        assertThat(second).isEqualTo(first);
    }

    @Example
    void engineWithOutdatedWeightsGetsNoRequests() {
        List<UpstreamState> states = engines(1);
        mVersions.recordDesired(Samples.MODEL, 2, 0);
        Prompt prompt = Samples.prompt(100, 100);

        assertThat(choose(states, prompt)).isPresent();
        assertThat(
                        mChooser.chooseEngine(
                                states, Set.of(), placement(prompt), 9 * Samples.NANOS_PER_SECOND))
                .isEmpty();
    }

    @Example
    void evictedPromptIsFetchedFromTheStoreAndSavedOnce() {
        List<UpstreamState> states = engines(3);
        Prompt prompt = Samples.prompt(2_000, 4_000, 1_000);
        PromptStoreView store =
                new PromptStoreView(
                        new PromptStore(HostAndPort.fromParts("10.0.0.9", 80), 8),
                        new PromptCacheView());
        mPromptStore = Optional.of(store);
        assertThat(choose(states, prompt).orElseThrow().saveTo()).hasValue(store.address());

        store.contents().setStoredTokens("*.1", prompt.parts().get(0).id(), 2_000);
        store.contents().setStoredTokens("*.1", prompt.parts().get(1).id(), 4_000);
        UpstreamChooser.Choice choice = choose(states, prompt).orElseThrow();
        assertThat(choice.saveTo()).isEmpty();
        assertThat(choice.fetchFrom()).hasValue(store.address());
        assertThat(choice.uncachedTokens()).isEqualTo(1_000);
    }

    @Example
    void fasterUpstreamGetsMoreRequests() {
        List<UpstreamState> states =
                List.of(
                        UpstreamState.of(Samples.upstreamWithoutWeights("fast")),
                        UpstreamState.of(Samples.upstreamWithoutWeights("slow")));
        for (int i = 0; i < 30; i++) {
            states.get(1).recordRelativeLatency(4);
        }
        Map<InstanceId, Integer> counts = new HashMap<>();
        for (int i = 0; i < 10; i++) {
            UpstreamState state =
                    mChooser.chooseUpstream(states, Set.of(), 0).orElseThrow().target();
            state.recordSent(0);
            counts.merge(state.upstream().id(), 1, Integer::sum);
        }
        assertThat(counts.get(InstanceId.of("fast"))).isAtLeast(7);
        assertThat(counts.get(InstanceId.of("slow"))).isAtLeast(1);
    }

    @Example
    void failingAndUnreachableUpstreamsAreAvoided() {
        List<UpstreamState> states =
                List.of(
                        UpstreamState.of(Samples.upstreamWithoutWeights("sound")),
                        UpstreamState.of(Samples.upstreamWithoutWeights("failing")),
                        UpstreamState.of(Samples.upstreamWithoutWeights("silent")));
        for (int i = 0; i < 20; i++) {
            states.get(1).recordResponse(false, 0);
        }
        states.get(2).markUnreachable(0);
        for (int i = 0; i < 50; i++) {
            UpstreamState state =
                    mChooser.chooseUpstream(states, Set.of(), 0).orElseThrow().target();
            assertThat(state).isSameInstanceAs(states.get(0));
        }
        assertThat(states.get(2).isAvailable(Samples.NANOS_PER_SECOND)).isTrue();
    }

    @Example
    void drainingUpstreamIsNeverChosen() {
        UpstreamState draining = UpstreamState.of(Samples.upstream("a", "1", true, Map.of()));
        assertThat(mChooser.chooseUpstream(List.of(draining), Set.of(), 0)).isEmpty();
    }
}
