package org.catkinproxy.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.http.HttpListener;
import org.catkinproxy.id.EngineId;
import org.catkinproxy.id.Incarnation;
import org.catkinproxy.relay.AnswerSink;

import io.jooby.Context;
import io.jooby.MediaType;
import io.reactivex.rxjava3.disposables.Disposable;

/**
 * Collects an answer and gives it to the caller in one piece.
 *
 * <p>Called by one thread at a time, as its interface says.
 */
final class WholeSink implements AnswerSink {
    private final Context mContext;
    private final Answering mAnswering;
    private final StringBuilder mText = new StringBuilder();
    private final Disposable mWatch;
    private int mCachedTokens;

    /**
     * Creates a sink.
     *
     * @param onGone runs if the caller leaves before it has the answer
     */
    WholeSink(Context context, Answering answering, Runnable onGone) {
        mContext = context;
        mAnswering = answering;
        mWatch = HttpListener.onClose(context, onGone);
    }

    @Override
    public void begin(EngineId engine, Incarnation incarnation, int cachedTokens) {
        mCachedTokens = cachedTokens;
        AnswerHeaders.set(mContext, mAnswering.request(), engine, cachedTokens);
    }

    @Override
    public void token(long sequence, String text) {
        mText.append(text);
    }

    @Override
    public void complete(long count, String finish) {
        mWatch.dispose();
        ObjectNode root = mAnswering.whole();
        ObjectNode choice = Answering.addChoice(root, finish);
        mAnswering.completion().shape().putText(choice, mText.toString());
        mAnswering.addUsage(root, count, mCachedTokens);
        mContext.setResponseType(MediaType.json);
        mContext.send(root.toString());
    }

    @Override
    public void fail(CatkinException error) {
        mWatch.dispose();
        HttpListener.fail(mContext, error);
    }

    @Override
    public void abandon() {
        mWatch.dispose();
        // The connection closes with the listener; a caller of a whole answer asks again.
    }
}
