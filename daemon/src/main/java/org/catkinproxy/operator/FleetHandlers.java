package org.catkinproxy.operator;

import org.catkinproxy.admin.ExplainRouteRequest;
import org.catkinproxy.admin.ModelView;
import org.catkinproxy.admin.RouteView;
import org.catkinproxy.admin.StopView;
import org.catkinproxy.admin.WorkspaceView;
import org.catkinproxy.config.ModelAssignment;
import org.catkinproxy.config.Workspace;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.Weights;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;

import java.util.List;

/**
 * The requests about workspaces, models, routes and planned stops, as plain functions.
 *
 * <p>Stateless but for the ports, and so safe for use by any thread.
 */
final class FleetHandlers {
    private final OperatorPorts mPorts;

    FleetHandlers(OperatorPorts ports) {
        mPorts = ports;
    }

    List<WorkspaceView> workspaces() {
        return mPorts.fleet().configuration().workspaces().stream()
                .map(FleetHandlers::view)
                .toList();
    }

    List<ModelView> models() {
        return mPorts.fleet().configuration().assignments().stream()
                .map(FleetHandlers::view)
                .toList();
    }

    StopView stop(String instance, String operator) {
        InstanceId id;
        try {
            id = InstanceId.of(instance);
        } catch (IllegalArgumentException e) {
            throw OperatorJson.malformed(e.getMessage());
        }
        StopView stop = Waiting.await(mPorts.stops().stop(id, operator));
        EventLog.log(LogEvent.STOP_REQUESTED, operator, id);
        return stop;
    }

    RouteView explain(String body) {
        ExplainRouteRequest request = OperatorJson.read(body, ExplainRouteRequest.class);
        if (request.workspace() == null || request.model() == null || request.prompt() == null) {
            throw OperatorJson.malformed("wants workspace, model and prompt");
        }
        return Waiting.await(mPorts.routes().explain(request));
    }

    private static WorkspaceView view(Workspace workspace) {
        return new WorkspaceView(
                workspace.id().value(),
                workspace.share(),
                workspace.keyDigests().size(),
                workspace.objectives().firstTokenMillis(),
                workspace.objectives().firstTokenShare(),
                workspace.objectives().availability(),
                workspace.objectives().hitRate());
    }

    private static ModelView view(ModelAssignment assignment) {
        Weights weights = assignment.weights();
        return new ModelView(
                assignment.workspace().value(),
                weights.model().value(),
                weights.adapter().value(),
                weights.version().value(),
                assignment.pool().value());
    }
}
