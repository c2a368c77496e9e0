package org.catkinproxy.burn;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.id.WorkspaceId;

/**
 * The burn rates of one workspace for one of its objectives.
 *
 * <p>An event is a first token, a request or a prompt token, depending on the objective; a bad
 * event is one that missed the objective. The error budget is the share of events that may be bad.
 *
 * <p>Immutable and thread-safe.
 *
 * @param workspace the workspace
 * @param objective the objective
 * @param target the target share of good events, between 0 and 1
 * @param shortWindowBurnRate the burn rate over the short window; at 1 the share of bad events
 *     equals the error budget
 * @param longWindowBurnRate the burn rate over the long window
 * @param remainingErrorBudget the share of the long window's error budget that is left, or 0 if it
 *     is exceeded
 * @param totalCount the number of events in the long window
 * @param badCount the number of bad events in the long window
 * @param worstEngine the id of the engine with the most bad events, or {@link #NO_WORST_ENGINE} if
 *     there were none
 * @param worstEngineShare the share of the workspace's bad events that the worst engine caused
 * @param shareOfAllBad the share of all workspaces' bad events for this objective that belongs to
 *     this workspace
 */
public record ObjectiveBurnRate(
        WorkspaceId workspace,
        BurnObjective objective,
        double target,
        double shortWindowBurnRate,
        double longWindowBurnRate,
        double remainingErrorBudget,
        long totalCount,
        long badCount,
        String worstEngine,
        double worstEngineShare,
        double shareOfAllBad) {
    /** The value of {@code worstEngine} if there were no bad events. */
    public static final String NO_WORST_ENGINE = "-";

    /** Checks that no component is null. */
    public ObjectiveBurnRate {
        checkNotNull(workspace, "workspace");
        checkNotNull(objective, "objective");
        checkNotNull(worstEngine, "worstEngine");
    }
}
