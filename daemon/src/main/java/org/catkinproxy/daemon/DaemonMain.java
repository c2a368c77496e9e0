package org.catkinproxy.daemon;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.observe.EventLog;
import org.catkinproxy.observe.LogEvent;
import org.catkinproxy.settings.Settings;
import org.catkinproxy.settings.SettingsFile;
import org.catkinproxy.stop.StopSettings;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

import io.reactivex.rxjava3.plugins.RxJavaPlugins;
import sun.misc.Signal;

import java.io.PrintStream;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

/** Starts the daemon from the command line. Stateless. */
public final class DaemonMain {
    private static final int EXIT_OK = 0;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_SETTINGS = 3;
    private static final String VERSION = "catkinproxyd 0.1.0";

    private DaemonMain() {}

    /** Runs the daemon until it is told to stop; see {@code --help}. */
    public static void main(String[] args) {
        DaemonOptions options = new DaemonOptions();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            usage(parser, System.err);
            System.exit(EXIT_USAGE);
        }
        if (options.isHelp()) {
            usage(parser, System.out);
            System.exit(EXIT_OK);
        }
        if (options.isVersion()) {
            System.out.println(VERSION);
            System.exit(EXIT_OK);
        }
        if (options.settings() == null) {
            System.err.println("--settings is missing");
            usage(parser, System.err);
            System.exit(EXIT_USAGE);
        }
        run(options);
    }

    private static void run(DaemonOptions options) {
        Settings settings = null;
        try {
            settings = SettingsFile.load(options.settings());
        } catch (CatkinException e) {
            System.err.println(e.getMessage());
            System.exit(EXIT_SETTINGS);
        }
        // Failures of work that nobody waits for any more.
        RxJavaPlugins.setErrorHandler(e -> EventLog.log(LogEvent.TASK_FAILED, "none", e));
        Duration longestStop =
                settings.stopGrace()
                        .plus(settings.entriesTtl())
                        .plusMillis(StopSettings.DEFAULT.maxPropagationMillis())
                        .plusMillis(StopSettings.DEFAULT.handOverTimeoutMillis());
        Daemon daemon = Daemon.start(settings);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(daemon, longestStop), "stop"));
        AtomicBoolean asked = new AtomicBoolean();
        Signal.handle(new Signal("TERM"), s -> terminate(daemon, asked));
        Signal.handle(new Signal("INT"), s -> terminate(daemon, asked));
        daemon.left().blockingAwait();
        System.exit(EXIT_OK);
    }

    /** The first signal begins a planned stop, which the shutdown hook awaits; another ends it. */
    private static void terminate(Daemon daemon, AtomicBoolean asked) {
        if (asked.compareAndSet(false, true)) {
            // The handler must return, or no other signal would be handled.
            new Thread(() -> System.exit(EXIT_OK), "exit").start();
        } else {
            daemon.end();
        }
    }

    /** Runs on the first signal; the planned stop may already be over, or takes its time. */
    private static void stop(Daemon daemon, Duration longest) {
        daemon.stop();
        boolean over = daemon.left().blockingAwait(longest.toMillis(), TimeUnit.MILLISECONDS);
        if (!over) {
            EventLog.log(LogEvent.STOP_CUT_SHORT, longest);
        }
        daemon.close();
    }

    private static void usage(CmdLineParser parser, PrintStream out) {
        out.println("usage: catkinproxyd --settings FILE");
        parser.printUsage(out);
        out.println("exit codes: 0 stopped, 2 usage, 3 settings");
    }
}
