package org.catkinproxy.http;

import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.reactivex.rxjava3.disposables.Disposable;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Runs actions when the connection of a request closes.
 *
 * <p>Routes do not see connections, so each request is given a header with the id of its own,
 * whatever the sender put there. Shared by all channels of a listener; safe for use by any thread.
 */
@Sharable
final class OpenConnections extends ChannelInboundHandlerAdapter {
    /** The header that names a request's connection; never taken from the sender. */
    static final String HEADER = "Catkin-Connection";

    private final Map<String, Set<Runnable>> mActions = new ConcurrentHashMap<>();

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        mActions.put(idOf(ctx), ConcurrentHashMap.newKeySet());
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpRequest request) {
            request.headers().set(HEADER, idOf(ctx));
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        Set<Runnable> actions = mActions.remove(idOf(ctx));
        if (actions != null) {
            actions.forEach(Runnable::run);
        }
        ctx.fireChannelInactive();
    }

    /**
     * Runs an action when a connection closes, at once if it has closed.
     *
     * @return takes the action back
     */
    Disposable onClose(String connection, Runnable action) {
        Set<Runnable> actions = mActions.get(connection);
        if (actions == null) {
            action.run();
            return Disposable.disposed();
        }
        actions.add(action);
        // The connection may have closed between the look-up and the addition.
        if (!mActions.containsKey(connection)) {
            action.run();
        }
        return Disposable.fromRunnable(() -> actions.remove(action));
    }

    private static String idOf(ChannelHandlerContext ctx) {
        return ctx.channel().id().asLongText();
    }
}
