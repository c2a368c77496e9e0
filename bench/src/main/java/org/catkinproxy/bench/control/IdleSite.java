package org.catkinproxy.bench.control;

import org.catkinproxy.demo.Cluster;
import org.catkinproxy.demo.ClusterOptions;
import org.catkinproxy.demo.DemoSettings;
import org.catkinproxy.demo.DemoSheet;
import org.catkinproxy.demo.Member;
import org.catkinproxy.demo.Operator;
import org.catkinproxy.demo.Web;
import org.catkinproxy.standin.WeightsName;
import org.catkinproxy.standin.engine.EngineOptions;
import org.catkinproxy.standin.engine.EngineStandin;

import okhttp3.OkHttpClient;
import okhttp3.Request;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Daemons as processes of their own, with engines in this process and a sheet but no callers.
 *
 * <p>Closing ends all that was started. Used by one thread, but closed by any.
 */
final class IdleSite implements AutoCloseable {
    private static final String POOL = "gpu-a";
    private static final String VERSION = "v1";
    private static final int LIST_LAG_MILLIS = 500;

    private final int mEngineCount;
    private final Cluster mCluster;
    private final List<EngineStandin> mEngines = new ArrayList<>();
    private final Operator mOperator = new Operator();
    private final OkHttpClient mHttp = Web.bounded(Duration.ofSeconds(2));

    /** Describes a site; {@link #start} starts it. */
    IdleSite(Path directory, int basePort, int engines, int daemons) {
        mEngineCount = engines;
        mCluster =
                Cluster.create(
                        new ClusterOptions(
                                directory, basePort, daemons, List.of(), 0, LIST_LAG_MILLIS, 0));
    }

    /** Starts all and waits until every daemon follows every engine and every other daemon. */
    void start() {
        mCluster.start();
        List<Member> upstreams = new ArrayList<>();
        WeightsName weights =
                WeightsName.parse(DemoSheet.MODEL + "/" + DemoSheet.ADAPTER + "/" + VERSION);
        EngineOptions options =
                EngineOptions.DEFAULT
                        .withWeights(List.of(weights))
                        .withOrders(mCluster.platform().url(), true);
        for (int i = 1; i <= mEngineCount; i++) {
            EngineStandin engine = EngineStandin.start(0, options);
            mEngines.add(engine);
            Member member =
                    new Member("engine-" + i, "engine", engine.address(), "", "", POOL, null);
            upstreams.add(member);
            mCluster.list(member, "live");
        }
        String sheet = DemoSheet.csv(upstreams, VERSION, POOL, Set.of());
        Cluster.await("the sheet", () -> isApplied(sheet));
        for (Member daemon : mCluster.daemons()) {
            Cluster.await(daemon.id() + " to know all", () -> knowsAll(daemon));
        }
    }

    /** Returns the ids of the daemons' processes. */
    List<Long> pids() {
        return mCluster.daemons().stream().map(d -> d.process().pid()).toList();
    }

    /** Tells whether every daemon still knows all engines and peers. */
    boolean isWhole() {
        return mCluster.daemons().stream().allMatch(this::knowsAll);
    }

    @Override
    public void close() {
        mCluster.close();
        mEngines.forEach(EngineStandin::close);
    }

    /** An answer may be lost, so the sheet counts as applied once any revision is in force. */
    private boolean isApplied(String sheet) {
        Member first = mCluster.daemons().get(0);
        try {
            return mOperator.revision(first) > 0 || mOperator.apply(first, sheet, 0).isSuccess();
        } catch (IOException e) {
            return false;
        }
    }

    private boolean knowsAll(Member daemon) {
        Request request =
                new Request.Builder()
                        .url(daemon.operatorUrl() + "/metrics")
                        .header("Authorization", "Bearer " + DemoSettings.OPERATOR_KEY)
                        .build();
        try {
            String metrics = Web.send(mHttp, request).body();
            return isGauge(metrics, "catkinproxy_engines", mEngineCount)
                    && isGauge(metrics, "catkinproxy_peers", mCluster.daemons().size() - 1);
        } catch (IOException e) {
            throw new UncheckedIOException(daemon.id(), e);
        }
    }

    private static boolean isGauge(String metrics, String name, int value) {
        return metrics.lines().anyMatch(line -> line.equals(name + " " + value + ".0"));
    }
}
