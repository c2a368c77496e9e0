package org.catkinproxy.gateway;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

import java.net.InetSocketAddress;
import java.util.function.Function;

/**
 * An HTTP server for short requests without a body: readiness, instance addresses and metrics.
 *
 * <p>Used by the event loop only.
 */
final class SimpleHttpServer {
    private static final int MAX_REQUEST_BYTES = 64 * 1024;

    private SimpleHttpServer() {}

    /**
     * A full response.
     *
     * @param status the HTTP status code
     * @param contentType the value of the Content-Type header
     * @param body the body
     */
    record Response(int status, String contentType, byte[] body) {}

    /** Listens at {@code address}; {@code responder} maps a request target to its response. */
    static ChannelFuture listen(
            EventLoop loop, InetSocketAddress address, Function<String, Response> responder) {
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(new HttpServerCodec())
                                        .addLast(new HttpObjectAggregator(MAX_REQUEST_BYTES))
                                        .addLast(new Handler(responder));
                            }
                        })
                .bind(address);
    }

    private static final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Function<String, Response> mResponder;

        Handler(Function<String, Response> responder) {
            mResponder = responder;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            Response reply = mResponder.apply(request.uri());
            DefaultFullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(reply.status()),
                            Unpooled.wrappedBuffer(reply.body()));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
            HttpUtil.setContentLength(response, reply.body().length);
            boolean keepAlive = HttpUtil.isKeepAlive(request);
            context.writeAndFlush(response)
                    .addListener(keepAlive ? f -> {} : ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
