package org.catkinproxy.standin;

import com.google.common.base.Splitter;

import org.catkinproxy.standin.engine.EngineOptions;
import org.catkinproxy.standin.engine.EngineStandin;
import org.catkinproxy.standin.platform.PlatformOptions;
import org.catkinproxy.standin.platform.PlatformStandin;
import org.catkinproxy.standin.service.ServiceStandin;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

import java.time.Duration;
import java.util.List;

/** Runs one stand-in as a process of its own until the process is ended. */
public final class StandinMain {
    private static final int USAGE = 2;

    @Argument(required = true, metaVar = "platform|engine|service", usage = "what to stand in for")
    private Kind mKind;

    @Option(name = "--listen", required = true, metaVar = "127.0.0.1:PORT", usage = "port, 0: any")
    private String mListen;

    @Option(name = "--list-lag-ms", usage = "platform: how late the instance list is")
    private long mListLagMs;

    @Option(name = "--free-loads", usage = "platform: loads at a time at full speed")
    private int mFreeLoads = PlatformOptions.DEFAULT.freeLoads();

    @Option(name = "--loads-per-second", usage = "platform: the weight store's rate")
    private int mLoadsPerSecond = PlatformOptions.DEFAULT.loadsPerSecond();

    @Option(name = "--platform", metaVar = "URL", usage = "engine: the platform, for weights")
    private String mPlatform = "";

    @Option(name = "--weights", metaVar = "M/A/V,...", usage = "engine: loaded at the start")
    private String mWeights = "";

    @Option(name = "--slots", usage = "engine: generations at a time")
    private int mSlots = EngineOptions.DEFAULT.slots();

    @Option(name = "--queue", usage = "engine: waiting generations")
    private int mQueue = EngineOptions.DEFAULT.queueLimit();

    @Option(name = "--cache-blocks", usage = "engine: size of the prefix cache")
    private int mCacheBlocks = EngineOptions.DEFAULT.cacheBlocks();

    @Option(name = "--prefill", usage = "engine: prompt tokens per second")
    private int mPrefill = 20_000;

    @Option(name = "--decode", usage = "engine: generated tokens per second and request")
    private int mDecode = 100;

    @Option(name = "--report-lag-ms", usage = "engine: how often the load report is renewed")
    private long mReportLagMs = EngineOptions.DEFAULT.reportLag().toMillis();

    @Option(name = "--event-lag-ms", usage = "engine: how late cache events are sent")
    private long mEventLagMs = EngineOptions.DEFAULT.eventLag().toMillis();

    @Option(name = "--check-fencing", usage = "engine: refuse orders with old fencing numbers")
    private boolean mChecksFencing;

    @Option(name = "--no-status", usage = "service: do without GET /calls/{key}")
    private boolean mNoStatus;

    private StandinMain() {}

    /** Starts the stand-in named on the command line and prints its address. */
    public static void main(String[] args) {
        StandinMain main = new StandinMain();
        CmdLineParser parser = new CmdLineParser(main);
        StandinServer server;
        try {
            parser.parseArgument(args);
            server = main.mKind.start(main);
        } catch (CmdLineException | IllegalArgumentException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE);
            return;
        }
        System.out.println("listening on " + server.address());
        server.awaitClose();
    }

    private int port() {
        if (!mListen.startsWith("127.0.0.1:")) {
            throw new IllegalArgumentException("stand-ins listen on 127.0.0.1 only: " + mListen);
        }
        return Integer.parseInt(mListen.substring(mListen.indexOf(':') + 1));
    }

    private EngineOptions engineOptions() {
        List<WeightsName> weights =
                Splitter.on(',')
                        .omitEmptyStrings()
                        .splitToStream(mWeights)
                        .map(WeightsName::parse)
                        .toList();
        return new EngineOptions(
                mSlots,
                mQueue,
                mCacheBlocks,
                mPrefill,
                mDecode,
                Duration.ofMillis(mReportLagMs),
                Duration.ofMillis(mEventLagMs),
                EngineOptions.DEFAULT.retention(),
                mChecksFencing,
                EngineOptions.DEFAULT.role(),
                weights,
                mPlatform);
    }

    /** What a process stands in for, and how it starts. Immutable. */
    enum Kind {
        PLATFORM {
            @Override
            StandinServer start(StandinMain main) {
                Duration lag = Duration.ofMillis(main.mListLagMs);
                return PlatformStandin.start(
                        main.port(),
                        new PlatformOptions(lag, main.mFreeLoads, main.mLoadsPerSecond));
            }
        },
        ENGINE {
            @Override
            StandinServer start(StandinMain main) {
                return EngineStandin.start(main.port(), main.engineOptions());
            }
        },
        SERVICE {
            @Override
            StandinServer start(StandinMain main) {
                return ServiceStandin.start(main.port(), !main.mNoStatus);
            }
        };

        abstract StandinServer start(StandinMain main);
    }
}
