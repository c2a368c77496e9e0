package org.catkinproxy.cli;

import com.google.common.base.Splitter;
import com.google.common.base.Strings;

import org.catkinproxy.error.CatkinException;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;

import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Runs the command that the arguments name and reports errors on the error stream.
 *
 * <p>Not thread-safe.
 */
final class Cli {
    private static final String DEFAULT_SERVER = "http://127.0.0.1:8081";
    private static final int COMMAND_NAME_WIDTH = 16;

    /** Options before the command name that are followed by a value. */
    private static final Set<String> LEADING_OPTIONS_WITH_VALUE =
            Set.of("--server", "--key", "--trust", "--timeout");

    private final Map<String, String> mEnvironment;
    private final PrintStream mOut;
    private final PrintStream mErr;

    Cli(Map<String, String> environment, PrintStream out, PrintStream err) {
        mEnvironment = environment;
        mOut = out;
        mErr = err;
    }

    ExitCode run(List<String> arguments) {
        List<String> remaining = new ArrayList<>(arguments);
        List<String> leadingOptions = removeLeadingOptions(remaining);
        if (leadingOptions.contains("--version")) {
            mOut.println("catkinctl " + version());
            return ExitCode.OK;
        }
        Optional<CommandKind> kind = CommandKind.find(remaining);
        if (kind.isEmpty()) {
            return printHelp(leadingOptions, remaining);
        }
        List<String> options = new ArrayList<>(leadingOptions);
        options.addAll(remaining.subList(kind.get().commandWords().size(), remaining.size()));
        return parseAndExecute(kind.get(), options);
    }

    private static List<String> removeLeadingOptions(List<String> remaining) {
        List<String> leadingOptions = new ArrayList<>();
        while (!remaining.isEmpty() && remaining.get(0).startsWith("-")) {
            String option = remaining.remove(0);
            leadingOptions.add(option);
            if (LEADING_OPTIONS_WITH_VALUE.contains(option) && !remaining.isEmpty()) {
                leadingOptions.add(remaining.remove(0));
            }
        }
        return leadingOptions;
    }

    private ExitCode parseAndExecute(CommandKind kind, List<String> options) {
        Command command = kind.create();
        CmdLineParser parser =
                new CmdLineParser(command, ParserProperties.defaults().withShowDefaults(false));
        try {
            parser.parseArgument(options);
        } catch (CmdLineException e) {
            mErr.println("catkinctl " + kind.commandName() + ": " + e.getMessage());
            mErr.println("See 'catkinctl " + kind.commandName() + " --help'.");
            return ExitCode.USAGE;
        }
        if (command.mHelp) {
            mOut.print("Usage: catkinctl " + kind.commandName());
            parser.printSingleLineUsage(mOut);
            mOut.println();
            mOut.println(kind.summary());
            parser.printUsage(mOut);
            return ExitCode.OK;
        }
        return execute(kind, command);
    }

    private ExitCode execute(CommandKind kind, Command command) {
        String prefix = "catkinctl " + kind.commandName() + ": ";
        try {
            command.run(createContext(command));
            return ExitCode.OK;
        } catch (CliException e) {
            mErr.println(prefix + e.getMessage());
            return e.exitCode();
        } catch (CatkinException e) {
            mErr.println(prefix + e.code().wireName() + ": " + e.getMessage());
            mErr.println(ErrorAdvice.forError(e));
            return ExitCode.of(e);
        }
    }

    private CommandContext createContext(Command command) {
        return new CommandContext(
                () -> createClient(command),
                mOut,
                mErr,
                command.mJson,
                Duration.ofSeconds(command.mTimeoutSeconds));
    }

    private OperatorClient createClient(Command command) {
        String servers = optionOrEnvironment(command.mServers, "CATKIN_SERVER", DEFAULT_SERVER);
        String key = optionOrEnvironment(command.mOperatorKey, "CATKIN_OPERATOR_KEY", "");
        OkHttpClient http =
                command.mTrustFile == null
                        ? new OkHttpClient()
                        : PemTrust.createClient(command.mTrustFile);
        List<String> baseUrls =
                Splitter.on(',').trimResults().omitEmptyStrings().splitToList(servers);
        for (String baseUrl : baseUrls) {
            if (HttpUrl.parse(baseUrl) == null) {
                throw new CliException(
                        ExitCode.USAGE,
                        "--server: found '"
                                + baseUrl
                                + "', expected http://HOST:PORT or https://HOST:PORT");
            }
        }
        return OperatorClient.create(baseUrls, key, http);
    }

    private String optionOrEnvironment(String optionValue, String variable, String defaultValue) {
        return optionValue != null
                ? optionValue
                : mEnvironment.getOrDefault(variable, defaultValue);
    }

    private ExitCode printHelp(List<String> leadingOptions, List<String> remaining) {
        boolean helpRequested = leadingOptions.contains("--help") || leadingOptions.contains("-h");
        boolean groupHelpRequested = remaining.size() > 1 && (remaining.get(1).equals("--help"));
        if (!helpRequested && !groupHelpRequested) {
            mErr.println(
                    remaining.isEmpty()
                            ? "catkinctl: no command given"
                            : "catkinctl: unknown command '" + String.join(" ", remaining) + "'");
        }
        PrintStream stream = helpRequested || groupHelpRequested ? mOut : mErr;
        stream.println("Usage: catkinctl COMMAND [OPTION...]\n\nCommands:");
        for (CommandKind kind : CommandKind.values()) {
            stream.println(
                    "  "
                            + Strings.padEnd(kind.commandName(), COMMAND_NAME_WIDTH, ' ')
                            + kind.summary());
        }
        stream.println(
                "\nAll commands take --server, --key, --trust, --json, --timeout and --help.");
        stream.println("\nExit codes:");
        for (ExitCode code : ExitCode.values()) {
            stream.println("  " + code.number() + "  " + code.meaning());
        }
        return helpRequested || groupHelpRequested ? ExitCode.OK : ExitCode.USAGE;
    }

    private static String version() {
        return Optional.ofNullable(Cli.class.getPackage().getImplementationVersion())
                .orElse("unpackaged");
    }
}
