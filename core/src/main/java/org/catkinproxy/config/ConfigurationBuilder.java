package org.catkinproxy.config;

import static com.google.common.base.Preconditions.checkArgument;

import com.google.common.collect.LinkedHashMultimap;
import com.google.common.collect.SetMultimap;

import org.catkinproxy.id.AdapterId;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.ModelId;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.Revision;
import org.catkinproxy.id.ServiceId;
import org.catkinproxy.id.Weights;
import org.catkinproxy.id.WeightsVersion;
import org.catkinproxy.id.WorkspaceId;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;

/**
 * Builds a configuration from the rows of a sheet and reports all errors in the rows.
 *
 * <p>Not thread-safe.
 */
final class ConfigurationBuilder {
    private static final Pattern DIGEST_PATTERN = Pattern.compile("[0-9a-f]{64}");
    private static final Set<String> WORKSPACE_OPTIONS =
            Set.of("share", "first_token_ms", "first_token_share", "availability", "hit_rate");
    private static final Set<String> POOL_OPTIONS = Set.of("fencing", "loads");
    private static final String MATCH_ALL = "*";

    private final SheetReferences mReferences = new SheetReferences();
    private final SetMultimap<WorkspaceId, String> mDigests = LinkedHashMultimap.create();
    private final Map<String, Integer> mDigestRows = new HashMap<>();
    private final List<Workspace> mWorkspaces = new ArrayList<>();
    private final List<Pool> mPools = new ArrayList<>();
    private final List<PoolMember> mMembers = new ArrayList<>();
    private final List<ModelAssignment> mAssignments = new ArrayList<>();
    private final List<ServiceRoute> mServices = new ArrayList<>();
    private final List<RequestRule> mRules = new ArrayList<>();

    /** Adds the content of one row, or reports its errors. */
    void addRow(SheetRow row) {
        Optional<SheetRowKind> kind = SheetRowKind.fromWireName(row.text(SheetColumn.KIND));
        if (kind.isEmpty()) {
            row.reportError(SheetColumn.KIND, "one of " + SheetRowKind.allWireNames());
            return;
        }
        row.reportUnexpectedCells(kind.get());
        switch (kind.get()) {
            case WORKSPACE_ROW -> addWorkspace(row);
            case KEY_ROW -> addKey(row);
            case MODEL_ROW -> addModel(row);
            case POOL_ROW -> addPool(row);
            case INSTANCE_ROW -> addInstance(row);
            case SERVICE_ROW -> addService(row);
            case REQUEST_ROW -> addRequestRule(row);
            default -> throw new AssertionError(kind.get());
        }
    }

    /** Reports undefined references between rows, and returns the configuration. */
    Configuration build() {
        mReferences.reportUndefined();
        List<Workspace> workspaces = new ArrayList<>();
        for (Workspace w : mWorkspaces) {
            Set<String> digests = mDigests.get(w.id());
            workspaces.add(new Workspace(w.id(), w.share(), digests, w.objectives()));
        }
        return new Configuration(
                Revision.NONE, workspaces, mPools, mMembers, mAssignments, mServices, mRules);
    }

    private void addWorkspace(SheetRow row) {
        Optional<WorkspaceId> id = parseWorkspaceId(row);
        String expectedOptions = "options " + String.join(", ", new TreeSet<>(WORKSPACE_OPTIONS));
        Optional<Workspace> parsed =
                row.parse(
                        SheetColumn.VALUE,
                        v -> parseWorkspace(id.orElse(WorkspaceId.of("unknown")), v),
                        expectedOptions + " with values in range");
        id.ifPresent(w -> mReferences.defineWorkspace(row, w));
        if (id.isPresent()) {
            parsed.ifPresent(mWorkspaces::add);
        }
    }

    private static Workspace parseWorkspace(WorkspaceId id, String cell) {
        SheetOptions options = SheetOptions.parse(cell, WORKSPACE_OPTIONS);
        ServiceLevelObjectives defaults = ServiceLevelObjectives.DEFAULT;
        ServiceLevelObjectives objectives =
                new ServiceLevelObjectives(
                        options.integer("first_token_ms", defaults.firstTokenMillis()),
                        options.number("first_token_share", defaults.firstTokenShare()),
                        options.number("availability", defaults.availability()),
                        options.number("hit_rate", defaults.hitRate()));
        return new Workspace(id, options.integer("share", 1), Set.of(), objectives);
    }

    private void addKey(SheetRow row) {
        Optional<WorkspaceId> id = parseWorkspaceId(row);
        id.ifPresent(w -> mReferences.referenceWorkspace(row, w));
        String digest = row.text(SheetColumn.VALUE);
        if (!DIGEST_PATTERN.matcher(digest).matches()) {
            row.reportError(
                    SheetColumn.VALUE, "the SHA-256 of a key, 64 lower-case hexadecimal digits");
            return;
        }
        Integer definingRow = mDigestRows.putIfAbsent(digest, row.rowNumber());
        if (definingRow != null) {
            row.reportError(
                    SheetColumn.VALUE,
                    "a key digest that row " + definingRow + " does not contain");
            return;
        }
        id.ifPresent(w -> mDigests.put(w, digest));
    }

    private void addModel(SheetRow row) {
        Optional<WorkspaceId> id = parseWorkspaceId(row);
        Optional<ModelId> model = row.parse(SheetColumn.MODEL, ModelId::of, "the name of a model");
        Optional<AdapterId> adapter =
                row.isBlank(SheetColumn.ADAPTER)
                        ? Optional.of(AdapterId.BASE)
                        : row.parse(
                                SheetColumn.ADAPTER,
                                AdapterId::of,
                                "the name of an adapter, or nothing");
        Optional<WeightsVersion> version =
                row.parse(SheetColumn.VERSION, WeightsVersion::of, "a version of the weights");
        Optional<PoolId> pool = parsePoolReference(row);
        id.ifPresent(w -> mReferences.referenceWorkspace(row, w));
        if (id.isPresent() && model.isPresent()) {
            mReferences.defineModel(row, id.get(), model.get().value());
            if (adapter.isPresent() && version.isPresent() && pool.isPresent()) {
                Weights weights = new Weights(model.get(), adapter.get(), version.get());
                mAssignments.add(new ModelAssignment(id.get(), weights, pool.get()));
            }
        }
    }

    private void addPool(SheetRow row) {
        Optional<PoolId> id = parsePoolId(row);
        Optional<Pool> parsed =
                row.parse(
                        SheetColumn.VALUE,
                        v -> parsePool(id.orElse(PoolId.of("unknown")), v),
                        "options fencing=checked or fencing=ignored, and loads of at least 1");
        id.ifPresent(p -> mReferences.definePool(row, p));
        if (id.isPresent()) {
            parsed.ifPresent(mPools::add);
        }
    }

    private static Pool parsePool(PoolId id, String cell) {
        SheetOptions options = SheetOptions.parse(cell, POOL_OPTIONS);
        String fencing = options.text("fencing", "ignored");
        checkArgument(
                fencing.equals("checked") || fencing.equals("ignored"),
                "fencing must be checked or ignored");
        return new Pool(id, fencing.equals("checked"), options.integer("loads", 1));
    }

    private void addInstance(SheetRow row) {
        Optional<InstanceId> id =
                row.parse(SheetColumn.INSTANCE, InstanceId::of, "the name of an instance");
        Optional<PoolId> pool = parsePoolReference(row);
        String value = row.text(SheetColumn.VALUE);
        if (!value.equals("join") && !value.equals("leave")) {
            row.reportError(SheetColumn.VALUE, "join or leave");
        }
        id.ifPresent(i -> mReferences.defineInstance(row, i));
        if (id.isPresent() && pool.isPresent()) {
            mMembers.add(new PoolMember(id.get(), pool.get(), value.equals("leave")));
        }
    }

    private void addService(SheetRow row) {
        Optional<WorkspaceId> id = parseWorkspaceId(row);
        Optional<ServiceId> service =
                row.parse(SheetColumn.SERVICE, ServiceId::of, "the name of a service");
        Optional<PoolId> pool = parsePoolReference(row);
        id.ifPresent(w -> mReferences.referenceWorkspace(row, w));
        if (id.isPresent() && service.isPresent()) {
            mReferences.defineService(row, id.get(), service.get().value());
            pool.ifPresent(p -> mServices.add(new ServiceRoute(id.get(), service.get(), p)));
        }
    }

    private void addRequestRule(SheetRow row) {
        Optional<WorkspaceId> id = parseWorkspaceId(row);
        id.ifPresent(w -> mReferences.referenceWorkspace(row, w));
        boolean hasModel = !row.isBlank(SheetColumn.MODEL);
        if (hasModel != row.isBlank(SheetColumn.SERVICE)) {
            row.reportError(SheetColumn.SERVICE, "either a model or a service");
            return;
        }
        Optional<RequestKind> kind =
                row.parse(
                        SheetColumn.VALUE,
                        ConfigurationBuilder::parseRequestKind,
                        "alarm, normal, draft or filing");
        if (hasModel && kind.filter(k -> !k.isIdempotent()).isPresent()) {
            row.reportError(
                    SheetColumn.VALUE, "alarm, normal or draft; filing applies to services only");
            return;
        }
        SheetColumn column = hasModel ? SheetColumn.MODEL : SheetColumn.SERVICE;
        String match = row.isBlank(SheetColumn.MATCH) ? MATCH_ALL : row.text(SheetColumn.MATCH);
        if (id.isPresent()) {
            mReferences.referenceTarget(row, column, id.get());
            mReferences.defineRule(row, id.get(), match);
            String target = row.text(column);
            kind.ifPresent(k -> mRules.add(new RequestRule(id.get(), target, match, k)));
        }
    }

    private static RequestKind parseRequestKind(String wireName) {
        return Arrays.stream(RequestKind.values())
                .filter(k -> k.wireName().equals(wireName))
                .findFirst()
                .orElseThrow(IllegalArgumentException::new);
    }

    private static Optional<WorkspaceId> parseWorkspaceId(SheetRow row) {
        return row.parse(SheetColumn.WORKSPACE, WorkspaceId::of, "the name of a workspace");
    }

    private static Optional<PoolId> parsePoolId(SheetRow row) {
        return row.parse(SheetColumn.POOL, PoolId::of, "the name of a pool");
    }

    private Optional<PoolId> parsePoolReference(SheetRow row) {
        Optional<PoolId> id = parsePoolId(row);
        id.ifPresent(p -> mReferences.referencePool(row, p));
        return id;
    }
}
