package org.catkinproxy.daemon;

import com.google.common.hash.Hashing;

import org.catkinproxy.caller.EntryDirectory;
import org.catkinproxy.caller.ServiceDirectory;
import org.catkinproxy.calls.ServiceInstance;
import org.catkinproxy.config.Configuration;
import org.catkinproxy.config.Member;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.platform.ListedInstance;
import org.catkinproxy.upstream.EngineEndpoint;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Joins the platform's instance list with the configuration's pools.
 *
 * <p>Immutable, and so safe for use by any thread; a new one replaces it when either changes.
 */
final class Fleet implements ServiceDirectory {
    private final List<EngineEndpoint> mEngines = new ArrayList<>();
    private final Map<PoolId, List<ServiceInstance>> mServices = new HashMap<>();
    private final List<EntryDirectory.Entry> mEntries = new ArrayList<>();

    private Fleet(List<ListedInstance> listed, Configuration configuration) {
        Map<InstanceId, Member> members = new HashMap<>();
        configuration.members().forEach(m -> members.put(m.instance(), m));
        for (ListedInstance instance : listed) {
            add(instance, members.get(instance.id()));
        }
    }

    static Fleet of(List<ListedInstance> listed, Configuration configuration) {
        return new Fleet(listed, configuration);
    }

    List<EngineEndpoint> engines() {
        return mEngines;
    }

    List<EntryDirectory.Entry> entries(String caller) {
        List<EntryDirectory.Entry> ranked = new ArrayList<>(mEntries);
        ranked.sort(Comparator.comparingLong(e -> rank(caller, e)));
        return ranked;
    }

    @Override
    public List<ServiceInstance> instances(PoolId pool) {
        return mServices.getOrDefault(pool, List.of());
    }

    private static long rank(String caller, EntryDirectory.Entry entry) {
        return Hashing.sha256()
                .hashString(caller + "\n" + entry.instance(), StandardCharsets.UTF_8)
                .asLong();
    }

    private void add(ListedInstance instance, Member member) {
        if (instance.kind() == ListedInstance.Kind.ENTRY) {
            if (!instance.leaving()) {
                mEntries.add(new EntryDirectory.Entry(instance.id(), instance.address()));
            }
            return;
        }
        if (member == null) {
            return;
        }
        boolean leaving = instance.leaving() || member.leaving();
        if (instance.kind() == ListedInstance.Kind.ENGINE) {
            mEngines.add(
                    new EngineEndpoint(
                            EngineId.of(instance.id().value()),
                            instance.address(),
                            member.pool(),
                            leaving));
        } else if (!leaving) {
            mServices
                    .computeIfAbsent(member.pool(), p -> new ArrayList<>())
                    .add(new ServiceInstance(instance.id(), instance.address()));
        }
    }
}
