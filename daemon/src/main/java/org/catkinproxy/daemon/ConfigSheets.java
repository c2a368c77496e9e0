package org.catkinproxy.daemon;

import org.catkinproxy.admin.AcceptedRevisionView;
import org.catkinproxy.admin.InstanceRevisionView;
import org.catkinproxy.configuration.ConfigTask;
import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.id.Revision;
import org.catkinproxy.operator.SheetAdmin;
import org.catkinproxy.revision.RevisionMetadata;

import io.reactivex.rxjava3.core.Maybe;
import io.reactivex.rxjava3.core.Single;

import java.util.List;
import java.util.function.Supplier;

/** Shows operators the sheets of the configuration task. Safe for use by any thread. */
final class ConfigSheets implements SheetAdmin {
    private static final int HISTORY_LIMIT = 100;

    private final ConfigTask mConfig;
    private final Supplier<List<InstanceRevisionView>> mRevisions;

    ConfigSheets(ConfigTask config, Supplier<List<InstanceRevisionView>> revisions) {
        mConfig = config;
        mRevisions = revisions;
    }

    @Override
    public Single<Revision> apply(String csv, Revision expected, String operator) {
        return mConfig.apply(csv, expected, operator);
    }

    @Override
    public Maybe<AcceptedText> current() {
        return Maybe.fromOptional(
                mConfig.inForce().map(s -> new AcceptedText(s.revision(), s.csv())));
    }

    @Override
    public Maybe<AcceptedText> sheet(Revision revision) {
        return mConfig.sheet(revision)
                .map(csv -> new AcceptedText(revision, csv))
                .toMaybe()
                .onErrorResumeNext(ConfigSheets::emptyIfNotFound);
    }

    @Override
    public Single<List<AcceptedRevisionView>> history() {
        return mConfig.history(HISTORY_LIMIT)
                .map(heads -> heads.stream().map(ConfigSheets::view).toList());
    }

    @Override
    public List<InstanceRevisionView> revisions() {
        return mRevisions.get();
    }

    private static Maybe<AcceptedText> emptyIfNotFound(Throwable e) {
        boolean notFound =
                e instanceof CatkinException error && error.code() == ErrorCode.NOT_FOUND;
        return notFound ? Maybe.empty() : Maybe.error(e);
    }

    private static AcceptedRevisionView view(RevisionMetadata head) {
        return new AcceptedRevisionView(
                head.revision().value(), head.operator(), head.acceptedMillis());
    }
}
