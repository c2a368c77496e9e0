package org.catkinproxy.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.http.HttpListener;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.relay.ResponseSink;

import io.jooby.Context;
import io.jooby.MediaType;
import io.reactivex.rxjava3.disposables.Disposable;

/**
 * Buffers a completion and sends it to the caller as a single response.
 *
 * <p>Must be called by one thread at a time, as {@link ResponseSink} specifies.
 */
final class BufferedResponseSink implements ResponseSink {
    private final Context mContext;
    private final CompletionContext mCompletion;
    private final StringBuilder mText = new StringBuilder();
    private final Disposable mCloseSubscription;
    private int mCachedTokens;

    /**
     * Creates a sink.
     *
     * @param onDisconnect runs if the caller disconnects before the response is sent
     */
    BufferedResponseSink(Context context, CompletionContext completion, Runnable onDisconnect) {
        mContext = context;
        mCompletion = completion;
        mCloseSubscription = HttpListener.onConnectionClose(context, onDisconnect);
    }

    @Override
    public void begin(EngineId engine, Incarnation incarnation, int cachedTokens) {
        mCachedTokens = cachedTokens;
        CompletionHeaders.set(mContext, mCompletion.request(), engine, cachedTokens);
    }

    @Override
    public void deliver(long sequence, String text) {
        mText.append(text);
    }

    @Override
    public void complete(long tokenCount, String finishReason) {
        mCloseSubscription.dispose();
        ObjectNode response = mCompletion.newResponse();
        ObjectNode choice = CompletionContext.addChoice(response, finishReason);
        mCompletion.completion().shape().putText(choice, mText.toString());
        mCompletion.addUsage(response, tokenCount, mCachedTokens);
        mContext.setResponseType(MediaType.json);
        mContext.send(response.toString());
    }

    @Override
    public void fail(CatkinException error) {
        mCloseSubscription.dispose();
        HttpListener.sendError(mContext, error);
    }

    @Override
    public void abandon() {
        mCloseSubscription.dispose();
        // The connection closes with the listener, and the caller sends the request again.
    }
}
