package org.catkinproxy.daemon;

import org.kohsuke.args4j.Option;

import java.nio.file.Path;

/** The daemon's command line. Filled once by the parser, then only read. */
final class DaemonOptions {
    @Option(name = "--settings", metaVar = "FILE", usage = "the settings file (TOML)")
    private Path mSettings;

    @Option(name = "--help", help = true, usage = "print this text")
    private boolean mHelp;

    @Option(name = "--version", help = true, usage = "print the version")
    private boolean mVersion;

    Path settings() {
        return mSettings;
    }

    boolean isHelp() {
        return mHelp;
    }

    boolean isVersion() {
        return mVersion;
    }
}
