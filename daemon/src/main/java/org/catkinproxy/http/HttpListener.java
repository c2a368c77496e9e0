package org.catkinproxy.http;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Outcome;
import org.catkinproxy.error.Step;

import io.jooby.Context;
import io.jooby.ExecutionMode;
import io.jooby.Jooby;
import io.jooby.MediaType;
import io.jooby.ServerOptions;
import io.jooby.StatusCode;
import io.netty.handler.ssl.SslContext;
import io.reactivex.rxjava3.disposables.Disposable;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * An HTTP server on one port that enforces {@link HttpLimits} and reports errors as JSON.
 *
 * <p>One thread opens and closes a listener. Routes run on the server's worker threads.
 */
public final class HttpListener implements AutoCloseable {
    private static final String CLOSE_HANDLER_ATTRIBUTE = "connections";
    private static final int IO_THREADS = 2;
    private static final int WORKER_THREADS = 16;

    private final BoundedNettyServer mServer;

    private HttpListener(BoundedNettyServer server) {
        mServer = server;
    }

    /**
     * Binds the port and starts to accept connections.
     *
     * @param host the IP address to listen on
     * @param port the port to listen on, or 0 for any free port
     * @param limits the limits on requests and connections
     * @param tls supplies the TLS context of each new connection; empty for plain HTTP
     * @param routes adds the routes to the application
     */
    public static HttpListener open(
            String host,
            int port,
            HttpLimits limits,
            Optional<Supplier<SslContext>> tls,
            Consumer<Jooby> routes) {
        ServerOptions options = new ServerOptions();
        options.setHost(host);
        options.setPort(port);
        options.setIoThreads(IO_THREADS);
        options.setWorkerThreads(WORKER_THREADS);
        options.setDefaultHeaders(false);
        options.setMaxRequestSize(limits.maxBodyBytes());
        BoundedNettyServer server = new BoundedNettyServer(options, limits, tls);
        Jooby application = new Jooby();
        application.setServerOptions(options);
        // Handlers parse and hash entire prompts, which would block an event loop for too long.
        application.setExecutionMode(ExecutionMode.WORKER);
        application.error((ctx, cause, status) -> sendError(ctx, toError(cause, status)));
        application.before(ctx -> ctx.setAttribute(CLOSE_HANDLER_ATTRIBUTE, server.closeHandler()));
        routes.accept(application);
        server.start(application);
        return new HttpListener(server);
    }

    @Override
    public void close() {
        mServer.stop();
    }

    /**
     * Returns how many writes to clients are pending, so that a planned stop can wait for them;
     * those of clients that do not read count for a limited time.
     */
    public int unwrittenCount() {
        return mServer.unwrittenCount();
    }

    /** Returns the port that this listener is bound to. */
    public int port() {
        return mServer.port();
    }

    /**
     * Runs an action when the connection of a request closes, or immediately if it is closed
     * already.
     *
     * @return unregisters the action when disposed
     */
    public static Disposable onConnectionClose(Context ctx, Runnable action) {
        ConnectionCloseHandler closeHandler = ctx.getAttribute(CLOSE_HANDLER_ATTRIBUTE);
        return closeHandler.onConnectionClose(
                ctx.header(ConnectionCloseHandler.CONNECTION_ID_HEADER).value(), action);
    }

    /** Responds to a request with the HTTP status and the JSON body of an error. */
    public static void sendError(Context ctx, CatkinException error) {
        ctx.setResponseCode(StatusCode.valueOf(error.code().httpStatus()));
        ctx.setResponseType(MediaType.json);
        ctx.send(ErrorBody.toJson(error));
    }

    /**
     * Returns the error to report to the client for a failure.
     *
     * <p>A {@link CatkinException} is returned as it is; any other failure becomes an error with
     * code {@code INTERNAL} and an unknown outcome.
     */
    public static CatkinException toError(Throwable cause) {
        return toError(cause, StatusCode.SERVER_ERROR);
    }

    private static CatkinException toError(Throwable cause, StatusCode status) {
        if (cause instanceof CatkinException error) {
            return error;
        }
        ErrorCode code = toErrorCode(status);
        Outcome outcome = code == ErrorCode.INTERNAL ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        String message = code == ErrorCode.INTERNAL ? cause.toString() : code.meaning();
        return CatkinException.of(
                code, Step.PARSE, CatkinException.NO_PEER, outcome, message, cause);
    }

    private static ErrorCode toErrorCode(StatusCode status) {
        if (status.value() == StatusCode.REQUEST_ENTITY_TOO_LARGE_CODE) {
            return ErrorCode.BODY_TOO_LARGE;
        }
        if (status.value() == StatusCode.NOT_FOUND_CODE
                || status.value() == StatusCode.METHOD_NOT_ALLOWED_CODE) {
            return ErrorCode.NOT_FOUND;
        }
        return status.value() < StatusCode.SERVER_ERROR_CODE
                ? ErrorCode.MALFORMED_BODY
                : ErrorCode.INTERNAL;
    }
}
