package org.catkinproxy.cli;

import java.util.List;

/** Entry point of the command-line tool. Stateless. */
public final class CatkinctlMain {
    private CatkinctlMain() {}

    /** Runs one command and exits the process with the command's exit code. */
    public static void main(String[] args) {
        ExitCode code = new Cli(System.getenv(), System.out, System.err).run(List.of(args));
        System.out.flush();
        System.exit(code.number());
    }
}
