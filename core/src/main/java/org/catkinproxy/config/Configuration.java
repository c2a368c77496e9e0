package org.catkinproxy.config;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.Revision;
import org.catkinproxy.id.WorkspaceId;

import java.util.List;
import java.util.Optional;

/**
 * A complete configuration.
 *
 * <p>A process replaces its configuration only by one with a higher revision. Look-ups take time
 * linear in the size of the list that they search. Immutable and thread-safe.
 *
 * @param revision the revision of the configuration, or {@link Revision#NONE} until it is accepted
 * @param workspaces all workspaces
 * @param pools all pools
 * @param members the upstream instances of all pools
 * @param assignments the models of all workspaces
 * @param services the services that workspaces may call
 * @param rules the rules that determine the kind of a request, of which the first match applies
 */
public record Configuration(
        Revision revision,
        List<Workspace> workspaces,
        List<Pool> pools,
        List<PoolMember> members,
        List<ModelAssignment> assignments,
        List<ServiceRoute> services,
        List<RequestRule> rules) {
    /** The configuration of a process that has not received one yet. */
    public static final Configuration EMPTY =
            new Configuration(
                    Revision.NONE,
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of(),
                    List.of());

    /** Checks that no component is null and copies the lists. */
    public Configuration {
        checkNotNull(revision, "revision");
        workspaces = List.copyOf(workspaces);
        pools = List.copyOf(pools);
        members = List.copyOf(members);
        assignments = List.copyOf(assignments);
        services = List.copyOf(services);
        rules = List.copyOf(rules);
    }

    /** Returns a copy of this configuration with the given revision. */
    public Configuration withRevision(Revision newRevision) {
        return new Configuration(
                newRevision, workspaces, pools, members, assignments, services, rules);
    }

    /** Returns the workspace that has a bearer key with the given SHA-256 digest, if any. */
    public Optional<Workspace> findWorkspaceByKeyDigest(String digest) {
        return workspaces.stream().filter(w -> w.keyDigests().contains(digest)).findFirst();
    }

    /** Returns the assignment of a model to a workspace, if any. */
    public Optional<ModelAssignment> findAssignment(WorkspaceId workspace, String model) {
        return assignments.stream()
                .filter(a -> a.workspace().equals(workspace))
                .filter(a -> a.weights().model().value().equals(model))
                .findFirst();
    }

    /** Returns the route of a workspace to a service, if any. */
    public Optional<ServiceRoute> findServiceRoute(WorkspaceId workspace, String service) {
        return services.stream()
                .filter(s -> s.workspace().equals(workspace))
                .filter(s -> s.service().value().equals(service))
                .findFirst();
    }

    /**
     * Returns the kind of a request for a model; {@link RequestKind#NORMAL} if no rule matches.
     *
     * @param user the {@code user} field of the request
     */
    public RequestKind modelRequestKind(WorkspaceId workspace, String model, String user) {
        return rules.stream()
                .filter(r -> r.workspace().equals(workspace) && r.target().equals(model))
                .filter(r -> r.match().equals("*") || r.match().equals(user))
                .map(RequestRule::kind)
                .findFirst()
                .orElse(RequestKind.NORMAL);
    }

    /**
     * Returns the kind of a call of a service; {@link RequestKind#NORMAL} if no rule matches.
     *
     * @param call the HTTP method and path of the call, separated by a space
     */
    public RequestKind serviceCallKind(WorkspaceId workspace, String service, String call) {
        return rules.stream()
                .filter(r -> r.workspace().equals(workspace) && r.target().equals(service))
                .filter(r -> r.match().equals("*") || call.startsWith(r.match()))
                .map(RequestRule::kind)
                .findFirst()
                .orElse(RequestKind.NORMAL);
    }
}
