package org.catkinproxy.daemon;

import org.catkinproxy.call.CallRecord;
import org.catkinproxy.call.CallResolution;
import org.catkinproxy.calls.CallAdmin;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.id.CallKey;

import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;

import java.util.List;

/** Shows operators the calls of the table service. Safe for use by any thread. */
final class CallTableAdmin implements org.catkinproxy.operator.CallAdmin {
    private static final int LIST_LIMIT = 1_000;

    private final CallAdmin mCalls;

    CallTableAdmin(CallAdmin calls) {
        mCalls = calls;
    }

    @Override
    public Single<List<org.catkinproxy.admin.CallView>> open() {
        return mCalls.listOpen(LIST_LIMIT)
                .map(calls -> calls.stream().map(CallTableAdmin::view).toList());
    }

    @Override
    public Maybe<org.catkinproxy.admin.CallView> find(CallKey key) {
        return mCalls.get(key)
                .map(CallTableAdmin::view)
                .toMaybe()
                .onErrorResumeNext(
                        e ->
                                e instanceof CatkinException error
                                                && error.code() == ErrorCode.NOT_FOUND
                                        ? Maybe.empty()
                                        : Maybe.error(e));
    }

    @Override
    public Single<org.catkinproxy.admin.CallView> resolve(
            CallKey key, boolean ran, String note, String operator) {
        return mCalls.resolve(key, ran, note, operator).map(CallTableAdmin::view);
    }

    private static org.catkinproxy.admin.CallView view(org.catkinproxy.calls.CallEntry call) {
        CallRecord record = call.record();
        return new org.catkinproxy.admin.CallView(
                call.key().workspace().value(),
                call.key().key().value(),
                record.state().wireName(),
                record.service().value(),
                record.operation(),
                record.attempt().value(),
                record.router().value(),
                Math.max(0, System.currentTimeMillis() - record.createdMillis()),
                record.resolution().map(CallResolution::note).orElse(""));
    }
}
