package org.catkinproxy.cli;

import org.kohsuke.args4j.Option;

import java.nio.file.Path;

/**
 * A command with the options that are common to all commands. args4j sets the fields.
 *
 * <p>Single use; not thread-safe.
 */
abstract class Command {
    private static final int DEFAULT_TIMEOUT_SECONDS = 60;

    @Option(
            name = "--server",
            metaVar = "URL,...",
            usage = "base URLs of daemons, tried in order (CATKIN_SERVER)")
    String mServers;

    @Option(name = "--key", metaVar = "KEY", usage = "operator key (CATKIN_OPERATOR_KEY)")
    String mOperatorKey;

    @Option(
            name = "--trust",
            metaVar = "FILE",
            usage = "PEM file of certificates to trust for https")
    Path mTrustFile;

    @Option(name = "--json", usage = "print JSON")
    boolean mJson;

    @Option(name = "--timeout", metaVar = "SECONDS", usage = "maximum time that --wait waits")
    int mTimeoutSeconds = DEFAULT_TIMEOUT_SECONDS;

    @Option(name = "--help", aliases = "-h", help = true, usage = "print this help")
    boolean mHelp;

    /**
     * Runs the command.
     *
     * @throws CliException if the command fails on the client side or times out
     * @throws org.catkinproxy.error.CatkinException if a daemon refuses a request or is unreachable
     */
    abstract void run(CommandContext context);
}
