package org.catkinproxy.cli;

import java.util.List;

/** Starts the command-line tool. Stateless. */
public final class CatkinctlMain {
    private CatkinctlMain() {}

    /** Runs one command and ends the process with its exit code. */
    public static void main(String[] args) {
        ExitCode code = new Cli(System.getenv(), System.out, System.err).run(List.of(args));
        System.out.flush();
        System.exit(code.number());
    }
}
