package org.catkinproxy.operator;

import static com.google.common.base.Preconditions.checkNotNull;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;

import io.jooby.Context;
import io.jooby.Jooby;
import io.jooby.MediaType;

import java.util.function.Function;

/**
 * The routes of the operator interface.
 *
 * <p>Every route wants an operator's key. Immutable; its handlers run on the listener's workers.
 */
public final class OperatorRoutes {
    /** The header that names the revision of the sheet in an answer. */
    public static final String REVISION_HEADER = "Catkin-Revision";

    private static final String CSV = "text/csv; charset=utf-8";
    private static final String PROMETHEUS = "text/plain; version=0.0.4; charset=utf-8";

    private final OperatorKeys mKeys;
    private final OperatorPorts mPorts;
    private final SheetHandlers mSheets;
    private final CallHandlers mCalls;
    private final FleetHandlers mFleet;

    private OperatorRoutes(OperatorKeys keys, OperatorPorts ports) {
        mKeys = checkNotNull(keys, "keys");
        mPorts = checkNotNull(ports, "ports");
        mSheets = new SheetHandlers(ports.sheets());
        mCalls = new CallHandlers(ports.calls());
        mFleet = new FleetHandlers(ports);
    }

    /** Returns the routes over the given ports. */
    public static OperatorRoutes create(OperatorKeys keys, OperatorPorts ports) {
        return new OperatorRoutes(keys, ports);
    }

    /** Adds all routes to a listener's application. */
    public void addTo(Jooby app) {
        get(app, "/operator/status", c -> mPorts.fleet().status());
        get(app, "/operator/workspaces", c -> mFleet.workspaces());
        get(app, "/operator/models", c -> mFleet.models());
        get(app, "/operator/engines", c -> mPorts.fleet().engines());
        get(app, "/operator/instances", c -> mPorts.fleet().instances());
        get(app, "/operator/burn", c -> mPorts.burn().get());
        post(app, "/operator/explain", c -> mFleet.explain(c.context().body().value()));
        post(app, "/operator/stop/{instance}", c -> mFleet.stop(c.path("instance"), c.operator()));
        addSheets(app);
        addCalls(app);
        app.get("/metrics", c -> text(c, PROMETHEUS, call -> mPorts.metrics().get()));
    }

    private void addSheets(Jooby app) {
        post(app, "/operator/sheet/check", c -> mSheets.check(c.context().body().value()));
        post(
                app,
                "/operator/sheet/apply",
                c ->
                        mSheets.apply(
                                c.context().body().value(), c.query("expect", ""), c.operator()));
        get(app, "/operator/sheet/history", c -> mSheets.history());
        get(app, "/operator/revisions", c -> mSheets.revisions());
        app.get("/operator/sheet", c -> sheet(c, call -> mSheets.current()));
        app.get(
                "/operator/sheet/{revision}",
                c -> sheet(c, call -> mSheets.sheet(call.path("revision"))));
    }

    private void addCalls(Jooby app) {
        String call = "/operator/calls/{workspace}/{key}";
        get(app, "/operator/calls", c -> mCalls.list(c.query("state", "open")));
        get(app, call, c -> mCalls.show(c.path("workspace"), c.path("key")));
        post(
                app,
                call + "/resolve",
                c ->
                        mCalls.resolve(
                                c.path("workspace"),
                                c.path("key"),
                                c.context().body().value(),
                                c.operator()));
    }

    private void get(Jooby app, String path, Function<Call, Object> handler) {
        app.get(path, c -> json(c, handler));
    }

    private void post(Jooby app, String path, Function<Call, Object> handler) {
        app.post(path, c -> json(c, handler));
    }

    private Context json(Context context, Function<Call, Object> handler) {
        Object answer = answer(context, handler);
        context.setResponseType(MediaType.json);
        return context.send(OperatorJson.write(answer));
    }

    private Context sheet(Context context, Function<Call, SheetAdmin.AcceptedText> handler) {
        SheetAdmin.AcceptedText sheet = answer(context, handler);
        context.setResponseHeader(REVISION_HEADER, sheet.revision().toString());
        context.setResponseType(CSV);
        return context.send(sheet.csv());
    }

    private Context text(Context context, String type, Function<Call, String> handler) {
        String answer = answer(context, handler);
        context.setResponseType(type);
        return context.send(answer);
    }

    private <T> T answer(Context context, Function<Call, T> handler) {
        try {
            String operator = mKeys.authenticate(context.header("Authorization").valueOrNull());
            return handler.apply(new Call(context, operator));
        } catch (CatkinException e) {
            EventLog.log(LogEvent.OPERATOR_REFUSED, context.getRequestPath(), e.code().wireName());
            throw e;
        }
    }

    /** One request of an operator whose key was accepted. Used by one thread. */
    private record Call(Context context, String operator) {
        String path(String name) {
            return context.path(name).value();
        }

        String query(String name, String otherwise) {
            return context.query(name).value(otherwise);
        }
    }
}
