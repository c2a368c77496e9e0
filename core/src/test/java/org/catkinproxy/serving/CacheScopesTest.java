package org.catkinproxy.serving;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.catkinproxy.id.WorkspaceId;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Tests that no scope is shared by an isolated workspace and another one. */
class CacheScopesTest {
    private static final List<WorkspaceId> WORKSPACES =
            List.of(WorkspaceId.of("a"), WorkspaceId.of("b"), WorkspaceId.of("c"));

    /** Guards against parts that are found again after several changes (review case 9). */
    @Property
    void nothingMadeByOrForAnIsolatedWorkspaceIsShared(
            @ForAll List<Set<Integer>> isolatedInEachConfiguration) {
        Map<String, Set<WorkspaceId>> makersByScope = new HashMap<>();
        for (Set<Integer> numbers : isolatedInEachConfiguration) {
            Set<WorkspaceId> isolated = new HashSet<>();
            numbers.forEach(n -> isolated.add(WORKSPACES.get(Math.floorMod(n, 3))));
            CacheScopes scopes = CacheScopes.of(isolated);
            for (WorkspaceId user : WORKSPACES) {
                String scope =
                        scopes.isIsolated(user) ? scopes.isolatedScope(user) : scopes.sharedScope();
                Set<WorkspaceId> makers =
                        makersByScope.computeIfAbsent(scope, k -> new HashSet<>());
                makers.add(user);
                if (makers.size() > 1) {
                    assertThat(makers).containsNoneIn(isolated);
                }
            }
        }
    }

    @Example
    void scopeIsTheSameWithoutIsolatedWorkspaces() {
        assertThat(CacheScopes.of(Set.of()).sharedScope()).isEqualTo("*");
    }

    @Example
    void scopeDependsOnTheSetOnly() {
        assertThat(CacheScopes.of(List.of(WORKSPACES.get(0), WORKSPACES.get(1))).sharedScope())
                .isEqualTo(
                        CacheScopes.of(List.of(WORKSPACES.get(1), WORKSPACES.get(0)))
                                .sharedScope());
        assertThat(CacheScopes.of(List.of(WORKSPACES.get(0))).sharedScope())
                .isNotEqualTo(CacheScopes.of(List.of(WORKSPACES.get(1))).sharedScope());
    }
}
