package org.catkinproxy.gateway;

import org.catkinproxy.id.RequestId;
import org.catkinproxy.serving.SendFailure;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * One connection to an upstream, which carries one request at a time.
 *
 * <p>Answers that name another request are late answers to an earlier one: they are passed over,
 * and the connection is not used again. Bytes that nobody asked for close the connection. Used by
 * the event loop only.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {
    private final Dialect mDialect;
    private final UpstreamPool mPool;
    private Channel mChannel;
    private AnswerSink mSink;
    private RequestId mRequest;
    private boolean mInAnswer;
    private boolean mPassingOver;
    private boolean mReusable = true;
    private int mIdleSeconds = Integer.MAX_VALUE;

    UpstreamConnection(Dialect dialect, UpstreamPool pool) {
        mDialect = dialect;
        mPool = pool;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    boolean isUsable() {
        return mChannel.isActive() && mReusable;
    }

    int idleSeconds() {
        return mIdleSeconds;
    }

    Channel channel() {
        return mChannel;
    }

    /** Sends a request whose answer goes to {@code sink}. */
    void send(
            RequestId id,
            HttpMethod method,
            String uri,
            HttpHeaders headers,
            ByteBuf body,
            AnswerSink sink) {
        mSink = sink;
        mRequest = id;
        mInAnswer = false;
        if (body.isReadable() || method.equals(HttpMethod.POST) || method.equals(HttpMethod.PUT)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        }
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        method,
                        uri,
                        body.retainedDuplicate(),
                        headers,
                        EmptyHttpHeaders.INSTANCE);
        mChannel.writeAndFlush(request);
    }

    /** Gives up the request: its answer is of no use any more. */
    void cancel() {
        mSink = null;
        mReusable = false;
        mChannel.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            read((HttpObject) message);
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void read(HttpObject message) {
        if (mSink == null) {
            mReusable = false;
            mChannel.close();
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail(SendFailure.GARBLED, "answer can not be read");
            return;
        }
        if (message instanceof HttpResponse response) {
            readHead(response);
        }
        if (message instanceof HttpContent content && mSink != null) {
            readContent(content);
        }
    }

    private void readHead(HttpResponse response) {
        boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        AnswerHead head = mDialect.readAnswer(response);
        boolean foreign = head.id().filter(id -> !id.equals(mRequest)).isPresent();
        mPassingOver = interim || foreign;
        if (foreign) {
            mReusable = false;
        }
        if (mPassingOver) {
            return;
        }
        mInAnswer = true;
        mReusable &= !head.closes();
        mIdleSeconds = head.idleSeconds().orElse(Integer.MAX_VALUE);
        mSink.onHead(response, head);
    }

    private void readContent(HttpContent content) {
        boolean last = content instanceof LastHttpContent;
        if (mPassingOver) {
            mPassingOver = !last;
            return;
        }
        if (!mInAnswer) {
            return;
        }
        if (content.content().isReadable()) {
            mSink.onContent(content.content().retain());
        }
        if (last && mSink != null) {
            end();
        }
    }

    private void end() {
        AnswerSink sink = mSink;
        mSink = null;
        mInAnswer = false;
        mPool.giveBack(this);
        sink.onEnd();
    }

    private void fail(SendFailure failure, String reason) {
        AnswerSink sink = mSink;
        mSink = null;
        mReusable = false;
        mChannel.close();
        if (sink != null) {
            sink.onFailure(failure, reason);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        mPool.closed(this);
        fail(SendFailure.BROKEN, "connection closed");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(SendFailure.BROKEN, String.valueOf(cause.getMessage()));
    }

    /** Stops or goes on reading, so that a slow caller holds back the upstream. */
    void setReading(boolean wanted) {
        mChannel.config().setAutoRead(wanted);
    }
}
