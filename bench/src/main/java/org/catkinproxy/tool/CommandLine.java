package org.catkinproxy.tool;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * The command line of a program, with the option that all of them have.
 *
 * <p>Subclasses add their options as fields. Filled once by {@link #parse}, then only read.
 */
public abstract class CommandLine {
    private static final int USAGE_STATUS = 2;

    @Option(name = "--help", help = true, usage = "show this text")
    private boolean mHelp;

    /** Fills the options; ends the process after {@code --help} or an option that is not known. */
    protected final void parse(String[] args) {
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(args);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE_STATUS);
        }
        if (mHelp) {
            parser.printUsage(System.out);
            System.exit(0);
        }
    }
}
