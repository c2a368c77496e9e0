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

/** Placement under the load patterns that the chooser answers. */
class UpstreamChooserTest {
    private static final double FETCH_NANOS = 7_000;

    private final PeerLoads mPeers = PeerLoads.create();
    private final UpstreamChooser mChooser = UpstreamChooser.of(new SplittableRandom(1), mPeers);
    private final NamedVersions mVersions = NamedVersions.of(10 * Samples.SECOND);

    private Optional<KeptPrompts> mKept = Optional.empty();

    private UpstreamChooser.PlacedPrompt placed(Prompt prompt) {
        return new UpstreamChooser.PlacedPrompt(prompt, "*", mVersions, FETCH_NANOS, mKept);
    }

    private static List<UpstreamLoad> engines(int count) {
        List<UpstreamLoad> loads = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            loads.add(UpstreamLoad.of(Samples.engine("e" + i, 1)));
        }
        return loads;
    }

    private static void cache(UpstreamLoad load, Prompt prompt, int parts) {
        for (int i = 0; i < parts; i++) {
            PromptPart part = prompt.parts().get(i);
            load.cached().told("*.1", part.id(), part.tokens());
        }
    }

    private Optional<UpstreamChooser.Choice> choose(List<UpstreamLoad> loads, Prompt prompt) {
        return mChooser.chooseEngine(loads, Set.of(), placed(prompt), 0);
    }

    @Example
    void aPromptGoesWhereItIsCached() {
        List<UpstreamLoad> loads = engines(5);
        Prompt prompt = Samples.prompt(2_000, 4_000, 1_000);
        cache(loads.get(3), prompt, 2);

        UpstreamChooser.Choice choice = choose(loads, prompt).orElseThrow();
        assertThat(choice.load()).isSameInstanceAs(loads.get(3));
        assertThat(choice.uncachedTokens()).isEqualTo(1_000);
    }

    @Example
    void aHotPromptIsCopiedOnceItsEngineIsBusy() {
        List<UpstreamLoad> loads = engines(2);
        Prompt prompt = Samples.prompt(6_000, 200);
        cache(loads.get(0), prompt, 1);
        loads.get(0).sent(30_000);

        UpstreamChooser.Choice choice = choose(loads, prompt).orElseThrow();
        assertThat(choice.load()).isSameInstanceAs(loads.get(1));
        assertThat(choice.source()).hasValue(loads.get(0).upstream().address());
        assertThat(choice.uncachedTokens()).isEqualTo(200);
    }

    @Example
    void whatPeersHaveOpenCountsLikeTheOwnRequests() {
        List<UpstreamLoad> loads = engines(2);
        Prompt prompt = Samples.prompt(200);
        InstanceId busy = choose(loads, prompt).orElseThrow().load().upstream().id();
        mPeers.told(InstanceId.of("peer"), Map.of(busy, new PeerLoads.Share(9, 30_000)), 0);

        assertThat(choose(loads, prompt).orElseThrow().load().upstream().id()).isNotEqualTo(busy);
    }

    /** Sixty instances that see the same late figures do not all choose the least busy engine. */
    @Example
    void manyInstancesDoNotHerdOnTheLeastBusyEngine() {
        List<UpstreamLoad> loads = engines(40);
        Map<InstanceId, PeerLoads.Share> busy = new HashMap<>();
        loads.stream()
                .skip(1)
                .forEach(l -> busy.put(l.upstream().id(), new PeerLoads.Share(5, 4_000)));
        for (int i = 0; i < 60; i++) {
            mPeers.told(InstanceId.of("peer-" + i), i == 0 ? busy : Map.of(), 0);
        }

        Map<InstanceId, Integer> chosen = new HashMap<>();
        for (int i = 0; i < 60; i++) {
            Prompt own = Samples.prompt(800);
            chosen.merge(choose(loads, own).orElseThrow().load().upstream().id(), 1, Integer::sum);
        }
        assertThat(chosen.values().stream().mapToInt(Integer::intValue).max().getAsInt())
                .isLessThan(60 / 4);
    }

    @Example
    void manyInstancesStillFindTheEngineThatHasThePrompt() {
        List<UpstreamLoad> loads = engines(40);
        Prompt prompt = Samples.prompt(2_000, 4_000, 1_000);
        cache(loads.get(17), prompt, 2);
        for (int i = 0; i < 60; i++) {
            mPeers.told(InstanceId.of("peer-" + i), Map.of(), 0);
        }

        assertThat(choose(loads, prompt).orElseThrow().load()).isSameInstanceAs(loads.get(17));
    }

    /** Many short prompts of few subjects: each is read once, and then copied. */
    @Example
    void shortSharedPartsAreCopiedToo() {
        List<UpstreamLoad> loads = engines(2);
        Prompt prompt = Samples.prompt(120, 80, 600);
        cache(loads.get(0), prompt, 2);
        loads.get(0).sent(30_000);

        UpstreamChooser.Choice choice = choose(loads, prompt).orElseThrow();
        assertThat(choice.load()).isSameInstanceAs(loads.get(1));
        assertThat(choice.source()).hasValue(loads.get(0).upstream().address());
    }

    @Example
    void nothingIsCopiedFromAnEngineWithOtherWeights() {
        List<UpstreamLoad> loads = engines(1);
        UpstreamLoad other = UpstreamLoad.of(Samples.engine("old", 2));
        Prompt prompt = Samples.prompt(6_000, 200);
        cache(other, prompt, 1);
        other.cached().told("*.2", prompt.parts().get(0).id(), 6_000);
        other.sent(500_000);
        loads.add(other);

        UpstreamChooser.Choice choice = choose(loads, prompt).orElseThrow();
        assertThat(choice.load()).isSameInstanceAs(loads.get(0));
        assertThat(choice.source()).isEmpty();
    }

    @Example
    void instancesThatKnowNothingSendEqualPromptsToTheSameEngine() {
        Prompt prompt = Samples.prompt(2_000, 100);
        InstanceId first = choose(engines(7), prompt).orElseThrow().load().upstream().id();
        InstanceId second = choose(engines(7), prompt).orElseThrow().load().upstream().id();
        assertThat(second).isEqualTo(first);
    }

    @Example
    void anEngineGetsNothingOnceItsWeightsAreOld() {
        List<UpstreamLoad> loads = engines(1);
        mVersions.named(Samples.MODEL, 2, 0);
        Prompt prompt = Samples.prompt(100, 100);

        assertThat(choose(loads, prompt)).isPresent();
        assertThat(mChooser.chooseEngine(loads, Set.of(), placed(prompt), 9 * Samples.SECOND))
                .isEmpty();
    }

    @Example
    void whatNoEngineHasAnyMoreIsCopiedFromTheStoreAndKeptThereOnce() {
        List<UpstreamLoad> loads = engines(3);
        Prompt prompt = Samples.prompt(2_000, 4_000, 1_000);
        KeptPrompts kept =
                new KeptPrompts(
                        new PromptStore(HostAndPort.fromParts("10.0.0.9", 80), 8),
                        new CachedPrompts());
        mKept = Optional.of(kept);
        assertThat(choose(loads, prompt).orElseThrow().keepAt()).hasValue(kept.address());

        kept.cached().told("*.1", prompt.parts().get(0).id(), 2_000);
        kept.cached().told("*.1", prompt.parts().get(1).id(), 4_000);
        UpstreamChooser.Choice choice = choose(loads, prompt).orElseThrow();
        assertThat(choice.keepAt()).isEmpty();
        assertThat(choice.source()).hasValue(kept.address());
        assertThat(choice.uncachedTokens()).isEqualTo(1_000);
    }

    @Example
    void workSpreadsBySpeed() {
        List<UpstreamLoad> loads =
                List.of(
                        UpstreamLoad.of(Samples.plain("fast")),
                        UpstreamLoad.of(Samples.plain("slow")));
        for (int i = 0; i < 30; i++) {
            loads.get(1).measured(4);
        }
        Map<InstanceId, Integer> counts = new HashMap<>();
        for (int i = 0; i < 10; i++) {
            UpstreamLoad load = mChooser.choosePlain(loads, Set.of(), 0).orElseThrow().load();
            load.sent(0);
            counts.merge(load.upstream().id(), 1, Integer::sum);
        }
        assertThat(counts.get(InstanceId.of("fast"))).isAtLeast(7);
        assertThat(counts.get(InstanceId.of("slow"))).isAtLeast(1);
    }

    @Example
    void anUpstreamThatFailsGetsLessAndOneThatIsSilentNothing() {
        List<UpstreamLoad> loads =
                List.of(
                        UpstreamLoad.of(Samples.plain("sound")),
                        UpstreamLoad.of(Samples.plain("failing")),
                        UpstreamLoad.of(Samples.plain("silent")));
        for (int i = 0; i < 20; i++) {
            loads.get(1).answered(false, 0);
        }
        loads.get(2).unreachable(0);
        for (int i = 0; i < 50; i++) {
            UpstreamLoad load = mChooser.choosePlain(loads, Set.of(), 0).orElseThrow().load();
            assertThat(load).isSameInstanceAs(loads.get(0));
        }
        assertThat(loads.get(2).isFit(Samples.SECOND)).isTrue();
    }

    @Example
    void anUpstreamThatLeavesGetsNothingEvenIfItIsTheLast() {
        UpstreamLoad leaving = UpstreamLoad.of(Samples.upstream("a", "1", true, Map.of()));
        assertThat(mChooser.choosePlain(List.of(leaving), Set.of(), 0)).isEmpty();
    }
}
