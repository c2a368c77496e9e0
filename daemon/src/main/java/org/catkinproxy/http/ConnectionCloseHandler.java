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
 * Runs registered actions when the connection of a request closes.
 *
 * <p>Jooby routes have no access to the connection, so this handler sets a header with the
 * connection's id on each request and overwrites any value that the client sent.
 *
 * <p>Thread-safe; shared by all channels of a listener.
 */
@Sharable
final class ConnectionCloseHandler extends ChannelInboundHandlerAdapter {
    /** The header with the id of a request's connection; a value from the client is overwritten. */
    static final String CONNECTION_ID_HEADER = "Catkin-Connection";

    private final Map<String, Set<Runnable>> mActionsByConnectionId = new ConcurrentHashMap<>();

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        mActionsByConnectionId.put(connectionId(ctx), ConcurrentHashMap.newKeySet());
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof HttpRequest request) {
            request.headers().set(CONNECTION_ID_HEADER, connectionId(ctx));
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        Set<Runnable> actions = mActionsByConnectionId.remove(connectionId(ctx));
        if (actions != null) {
            actions.forEach(Runnable::run);
        }
        ctx.fireChannelInactive();
    }

    /**
     * Runs an action when a connection closes, or immediately if it is closed already.
     *
     * @return unregisters the action when disposed
     */
    Disposable onConnectionClose(String connectionId, Runnable action) {
        Set<Runnable> actions = mActionsByConnectionId.get(connectionId);
        if (actions == null) {
            action.run();
            return Disposable.disposed();
        }
        actions.add(action);
        // The connection may have closed after the actions were looked up.
        if (!mActionsByConnectionId.containsKey(connectionId)) {
            action.run();
        }
        return Disposable.fromRunnable(() -> actions.remove(action));
    }

    private static String connectionId(ChannelHandlerContext ctx) {
        return ctx.channel().id().asLongText();
    }
}
