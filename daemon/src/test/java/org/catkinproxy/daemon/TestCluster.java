package org.catkinproxy.daemon;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;

import org.catkinproxy.cache.PromptBlocks;
import org.catkinproxy.config.Priority;
import org.catkinproxy.id.DataCentreId;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.id.PoolId;
import org.catkinproxy.id.RequestId;
import org.catkinproxy.id.Revision;
import org.catkinproxy.id.Weights;
import org.catkinproxy.id.WorkspaceId;
import org.catkinproxy.route.DispatchSettings;
import org.catkinproxy.route.RouteRequest;
import org.catkinproxy.route.RoutingPolicy;
import org.catkinproxy.settings.BurnWindows;
import org.catkinproxy.settings.Limits;
import org.catkinproxy.settings.Listener;
import org.catkinproxy.settings.PlatformSettings;
import org.catkinproxy.settings.Secrets;
import org.catkinproxy.settings.Settings;
import org.catkinproxy.settings.TlsFiles;
import org.catkinproxy.standin.WeightsName;
import org.catkinproxy.standin.engine.EngineOptions;
import org.catkinproxy.standin.engine.EngineStandin;
import org.catkinproxy.standin.platform.PlatformStandin;
import org.catkinproxy.standin.service.ServiceStandin;

import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A platform, engines, a service and daemons in one process, over real sockets. */
final class TestCluster implements AutoCloseable {
    static final String KEY_LARGE = "key-large";
    static final String KEY_SMALL = "key-small";
    static final String KEY_OPERATOR = "key-operator";
    static final WeightsName WEIGHTS = new WeightsName("review", "base", "v1");

    private static final MediaType JSON = MediaType.get("application/json");
    private static final long PATIENCE_SECONDS = 60;

    private final PlatformStandin mPlatform = PlatformStandin.start(0);
    private final ServiceStandin mService = ServiceStandin.start(0);
    private final List<EngineStandin> mEngines = new ArrayList<>();
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final OkHttpClient mClient =
            new OkHttpClient.Builder()
                    .retryOnConnectionFailure(false)
                    .readTimeout(PATIENCE_SECONDS, TimeUnit.SECONDS)
                    .build();

    private final Optional<TlsFiles> mTls;

    private TestCluster(int engines, EngineOptions options, Optional<TlsFiles> tls)
            throws IOException {
        mTls = tls;
        for (int i = 0; i < engines; i++) {
            EngineStandin engine = EngineStandin.start(0, options.withWeights(List.of(WEIGHTS)));
            mEngines.add(engine);
            register("engine-" + i, "engine", engine.address());
        }
        register("register-0", "service", mService.address());
    }

    static TestCluster start(int engines, int daemons, EngineOptions options) throws IOException {
        return start(engines, daemons, options, Optional.empty());
    }

    /** Starts a cluster whose daemons use TLS on all listeners. */
    static TestCluster start(
            int engines, int daemons, EngineOptions options, Optional<TlsFiles> tls)
            throws IOException {
        TestCluster cluster = new TestCluster(engines, options, tls);
        for (int i = 0; i < daemons; i++) {
            cluster.addDaemon("entry-" + i);
        }
        Daemon first = cluster.mDaemons.get(0);
        first.configuration().apply(cluster.sheet(), Revision.NONE, "test").blockingGet();
        cluster.mDaemons.forEach(d -> await(() -> d.configuration().isFresh()));
        cluster.mDaemons.forEach(cluster::awaitEngines);
        return cluster;
    }

    PlatformStandin platform() {
        return mPlatform;
    }

    ServiceStandin service() {
        return mService;
    }

    EngineStandin engine(int index) {
        return mEngines.get(index);
    }

    String url(int daemon) {
        return "http://127.0.0.1:" + mDaemons.get(daemon).callerPort();
    }

    Daemon daemon(int index) {
        return mDaemons.get(index);
    }

    Daemon addDaemon(String name) throws IOException {
        Daemon daemon = Daemon.start(settings(name));
        mDaemons.add(daemon);
        register(
                name,
                "entry",
                "127.0.0.1:" + daemon.callerPort(),
                "127.0.0.1:" + daemon.peerPort());
        return daemon;
    }

    /** Waits until the daemon would find an engine for a request. */
    void awaitEngines(Daemon daemon) {
        await(() -> candidates(daemon) == mEngines.size());
    }

    /** Returns how many engines a daemon would weigh for a request. */
    int candidates(int daemon) {
        return candidates(mDaemons.get(daemon));
    }

    private static int candidates(Daemon daemon) {
        RouteRequest probe =
                new RouteRequest(
                        RequestId.of("probe"),
                        WorkspaceId.of("large"),
                        Weights.of(WEIGHTS.model(), WEIGHTS.adapter(), WEIGHTS.version()),
                        PoolId.of("engines"),
                        Priority.NORMAL,
                        new PromptBlocks(List.of(), 1),
                        1,
                        Long.MAX_VALUE);
        return daemon.dispatch().explain(probe).blockingGet().candidates().size();
    }

    OkHttpClient client() {
        return mClient;
    }

    Response post(int daemon, String key, String path, String body, String... headers)
            throws IOException {
        Request.Builder request =
                new Request.Builder()
                        .url(url(daemon) + path)
                        .header("Authorization", "Bearer " + key)
                        .post(RequestBody.create(body, JSON));
        for (int i = 0; i < headers.length; i += 2) {
            request.header(headers[i], headers[i + 1]);
        }
        return mClient.newCall(request.build()).execute();
    }

    void register(String id, String kind, String address) throws IOException {
        register(id, kind, address, "");
    }

    private void register(String id, String kind, String address, String peerAddress)
            throws IOException {
        String body =
                String.format(
                        "{\"id\":\"%s\",\"kind\":\"%s\",\"address\":\"%s\",\"peerAddress\":\"%s\","
                                + "\"dataCentre\":\"dc-1\",\"state\":\"live\",\"weight\":1}",
                        id, kind, address, peerAddress);
        Request request =
                new Request.Builder()
                        .url(mPlatform.url() + "/instances/" + id)
                        .put(RequestBody.create(body, JSON))
                        .build();
        mClient.newCall(request).execute().close();
    }

    static void await(BooleanSupplier condition) {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > until) {
                throw new AssertionError("waited in vain");
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                throw new AssertionError(e);
            }
        }
    }

    @Override
    public void close() {
        mDaemons.forEach(Daemon::close);
        mEngines.forEach(EngineStandin::close);
        mService.close();
        mPlatform.close();
    }

    private String sheet() {
        StringBuilder sheet = new StringBuilder();
        sheet.append("kind,workspace,model,adapter,version,pool,instance,service,match,value\n");
        sheet.append("pool,,,,,engines,,,,fencing=checked loads=2\n");
        sheet.append("pool,,,,,registers,,,,fencing=ignored loads=1\n");
        for (int i = 0; i < mEngines.size(); i++) {
            sheet.append("instance,,,,,engines,engine-").append(i).append(",,,join\n");
        }
        sheet.append("instance,,,,,registers,register-0,,,join\n");
        addWorkspace(sheet, "large", KEY_LARGE);
        addWorkspace(sheet, "small", KEY_SMALL);
        sheet.append("service,large,,,,registers,,register,,\n");
        sheet.append("request,large,,,,,,register,POST /filings,filing\n");
        return sheet.toString();
    }

    private static void addWorkspace(StringBuilder sheet, String name, String key) {
        sheet.append("workspace,").append(name).append(",,,,,,,,share=1\n");
        sheet.append("key,").append(name).append(",,,,,,,,");
        sheet.append(Hashing.sha256().hashString(key, UTF_8)).append('\n');
        sheet.append("model,").append(name).append(",review,,v1,engines,,,,\n");
    }

    private Settings settings(String name) {
        URI platform = URI.create(mPlatform.url());
        return new Settings(
                InstanceId.of(name),
                DataCentreId.of("dc-1"),
                1,
                new Listener("127.0.0.1", 0, mTls),
                new Listener("127.0.0.1", 0, mTls),
                new Listener("127.0.0.1", 0, mTls),
                new PlatformSettings(
                        platform,
                        platform,
                        platform,
                        Duration.ofMillis(500),
                        Duration.ofMillis(2_000)),
                Map.of("alice", Hashing.sha256().hashString(KEY_OPERATOR, UTF_8).toString()),
                Secrets.of(new byte[32], new byte[32]),
                new DispatchSettings(RoutingPolicy.TAIL_FIRST, 1_000),
                Limits.DEFAULT,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                BurnWindows.DEFAULT);
    }
}
