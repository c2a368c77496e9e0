package org.catkinproxy.daemon;

import org.catkinproxy.admin.CandidateView;
import org.catkinproxy.admin.ExplainRouteRequest;
import org.catkinproxy.admin.RouteView;
import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.config.Configuration;
import org.catkinproxy.config.ModelAssignment;
import org.catkinproxy.config.Priority;
import org.catkinproxy.dispatch.DispatchTask;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.WorkspaceId;
import org.catkinproxy.operator.RouteExplainer;
import org.catkinproxy.route.RouteExplanation;
import org.catkinproxy.route.RouteRequest;
import org.catkinproxy.route.RoutingPolicy;

import io.reactivex.rxjava3.core.Single;

import java.util.function.Supplier;

/** Explains routes by asking the dispatcher. Safe for use by any thread. */
final class DispatchExplainer implements RouteExplainer {
    private static final RequestId PROBE = RequestId.of("explain");
    private static final double NANOS_PER_MILLI = 1e6;

    private final Supplier<Configuration> mConfiguration;
    private final DispatchTask mDispatch;
    private final RoutingPolicy mPolicy;

    DispatchExplainer(
            Supplier<Configuration> configuration, DispatchTask dispatch, RoutingPolicy policy) {
        mConfiguration = configuration;
        mDispatch = dispatch;
        mPolicy = policy;
    }

    @Override
    public Single<RouteView> explain(ExplainRouteRequest request) {
        return Single.defer(
                () -> {
                    RouteRequest probe = probe(request);
                    return mDispatch
                            .explain(probe)
                            .map(e -> view(e, probe.blocks().promptTokens()));
                });
    }

    private RouteRequest probe(ExplainRouteRequest request) {
        WorkspaceId workspace = WorkspaceId.of(request.workspace());
        ModelAssignment assignment =
                mConfiguration
                        .get()
                        .findAssignment(workspace, request.model())
                        .orElseThrow(DispatchExplainer::unknownModel);
        return new RouteRequest(
                PROBE,
                workspace,
                assignment.weights(),
                assignment.pool(),
                Priority.NORMAL,
                PromptBlocks.of(workspace, assignment.weights(), request.prompt()),
                1,
                Long.MAX_VALUE);
    }

    private RouteView view(RouteExplanation explanation, int promptTokens) {
        return new RouteView(
                explanation.choice().map(EngineId::value).orElse(""),
                mPolicy.wireName(),
                promptTokens,
                explanation.candidates().stream().map(DispatchExplainer::view).toList());
    }

    private static CandidateView view(RouteExplanation.Candidate candidate) {
        return new CandidateView(
                candidate.engine().value(),
                candidate.cachedTokens(),
                candidate.queueNanos() / NANOS_PER_MILLI,
                candidate.firstTokenNanos() / NANOS_PER_MILLI,
                candidate.costNanos() / NANOS_PER_MILLI);
    }

    private static CatkinException unknownModel() {
        return CatkinException.notRun(
                ErrorCode.UNKNOWN_MODEL,
                Step.ROUTE,
                CatkinException.NO_PEER,
                ErrorCode.UNKNOWN_MODEL.meaning());
    }
}
