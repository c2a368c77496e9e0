package org.catkinproxy.gateway;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.serving.DesiredVersions;
import org.catkinproxy.serving.ServingConfig;
import org.catkinproxy.serving.StorePosition;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Keeps the newest configuration and the versions of weights that operators want in service.
 *
 * <p>Configurations with a version that is not higher than the current one are ignored. Used by the
 * event loop only.
 */
final class ConfigWatcher implements TableWatch.Listener {
    private final Gateway mGateway;
    private final TableConnection mConnection;
    private final DesiredVersions mDesiredVersions;
    private Optional<ServingConfig> mConfig = Optional.empty();
    private boolean mInitialReadDone;

    /** The number of parts of the newest configuration that could not be read. */
    private int mProblems;

    ConfigWatcher(Gateway gateway, Duration outdatedWeightsGrace) {
        mGateway = gateway;
        mConnection = new TableConnection(gateway.log(), "operators");
        mDesiredVersions = DesiredVersions.of(outdatedWeightsGrace.toNanos());
    }

    Optional<ServingConfig> config() {
        return mConfig;
    }

    /** Returns the number of parts of the newest configuration that could not be read. */
    int problemCount() {
        return mProblems;
    }

    /** Returns whether the last poll of the table succeeded. */
    boolean isConnected() {
        return mConnection.isConnected();
    }

    /** Returns the desired versions of weights. */
    DesiredVersions desiredVersions() {
        return mDesiredVersions;
    }

    @Override
    public void onTable(List<TableRow> rows) {
        rows.forEach(this::apply);
        mInitialReadDone = true;
    }

    @Override
    public void onChanges(List<TableRow> rows) {
        rows.forEach(this::apply);
    }

    @Override
    public void onConnected() {
        mConnection.onConnected();
    }

    @Override
    public void onRead(StorePosition position, StorePosition newestRow) {
        mConnection.onRead(position, newestRow);
    }

    @Override
    public void onBehind(StorePosition known, StorePosition hinted) {
        mConnection.onBehind(known, hinted);
    }

    @Override
    public void onOverdue() {
        mConnection.onOverdue();
    }

    @Override
    public void onDisconnected(CatkinException reason, long attemptedAt) {
        mConnection.onDisconnected(reason);
    }

    private void apply(TableRow row) {
        if (row.content().isEmpty()) {
            return;
        }
        try {
            if (mGateway.rowReader().isConfigKey(row.key())) {
                applyConfig(mGateway.rowReader().readConfig(row.content().get()));
            } else {
                mGateway.rowReader()
                        .readDesiredVersion(row.key(), row.content().get())
                        .ifPresent(this::applyDesiredVersion);
            }
        } catch (IllegalArgumentException e) {
            if (mGateway.rowReader().isConfigKey(row.key())) {
                mProblems = 1;
            }
            mGateway.log()
                    .record(
                            GatewayEvent.CONFIG_UNREADABLE,
                            "row",
                            row.key(),
                            "reason",
                            e.getMessage());
        }
    }

    private void applyConfig(ServingConfig config) {
        if (mConfig.isPresent() && mConfig.get().version() >= config.version()) {
            return;
        }
        mConfig = Optional.of(config);
        mProblems = config.problems().size();
        mGateway.onConfigChanged(config);
        mGateway.log().record(GatewayEvent.CONFIG_IN_FORCE, "version", config.version());
        if (mProblems > 0) {
            logProblems(config);
        }
        mGateway.joinIfReady();
    }

    private void logProblems(ServingConfig config) {
        mGateway.log()
                .record(
                        GatewayEvent.CONFIG_PARTLY_UNREADABLE,
                        "version",
                        config.version(),
                        "problems",
                        config.problems().size(),
                        "first",
                        config.problems().get(0));
    }

    private void applyDesiredVersion(RowReader.DesiredVersion desired) {
        long now = mGateway.now();
        boolean isNewer =
                mInitialReadDone
                        ? mDesiredVersions.recordDesired(desired.model(), desired.version(), now)
                        : mDesiredVersions.recordDesiredBeforeStart(
                                desired.model(), desired.version(), now);
        if (!isNewer) {
            return;
        }
        mGateway.log()
                .record(
                        GatewayEvent.VERSION_NAMED,
                        "model",
                        desired.model(),
                        "version",
                        desired.version());
        mGateway.rolloutTask().ensureRunning();
    }
}
