package org.catkinproxy.gateway;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;
import org.catkinproxy.serving.StorePosition;

import io.reactivex.rxjava3.core.Single;
import io.reactivex.rxjava3.subjects.SingleSubject;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A store whose calls stay open until the test completes them. Used by the test's thread only. */
final class FakeTableStore implements TableStore {
    private final List<String> mOpenCalls = new ArrayList<>();
    private final List<SingleSubject<Rows>> mResults = new ArrayList<>();
    private int mDisposedCount;

    void succeed(Rows rows) {
        mOpenCalls.remove(0);
        mResults.remove(0).onSuccess(rows);
    }

    void fail() {
        failWith(ErrorCode.STORE_UNAVAILABLE);
    }

    void failWith(ErrorCode code) {
        mOpenCalls.remove(0);
        mResults.remove(0).onError(CatkinException.notRun(code, Step.STORE, "store", "cut"));
    }

    /** Returns how many open calls were cancelled. */
    int disposedCount() {
        return mDisposedCount;
    }

    List<String> openCalls() {
        return mOpenCalls;
    }

    private Single<Rows> open(String description) {
        SingleSubject<Rows> result = SingleSubject.create();
        mOpenCalls.add(description);
        mResults.add(result);
        return result.doOnDispose(
                () -> {
                    mDisposedCount++;
                    mOpenCalls.remove(mResults.indexOf(result));
                    mResults.remove(result);
                });
    }

    @Override
    public void setEraListener(EraListener listener) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Single<Rows> read(String table) {
        return open("read");
    }

    @Override
    public Single<Rows> changes(String table, StorePosition after, Duration wait) {
        return open("changes after " + after.version() + " wait " + wait.toSeconds());
    }

    @Override
    public Single<Rows> readRow(String table, String key) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Single<StorePosition> write(String table, String key, byte[] content) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Single<StorePosition> writeIf(String table, String key, long expected, byte[] content) {
        throw new UnsupportedOperationException();
    }

    @Override
    public Single<StorePosition> remove(String table, String key) {
        throw new UnsupportedOperationException();
    }
}
