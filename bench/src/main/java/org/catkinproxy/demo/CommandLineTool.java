package org.catkinproxy.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Runs {@code catkinctl} as an operator does. Immutable, and so safe for use by any thread. */
final class CommandLineTool {
    private final Path mProgram;
    private final String mOperators;

    /**
     * Creates a runner.
     *
     * @param program the program
     * @param operators IP number and port of a daemon's operator interface
     */
    CommandLineTool(Path program, String operators) {
        mProgram = program;
        mOperators = operators;
    }

    /** Runs a command and returns its exit code and output. */
    Result run(String... arguments) {
        List<String> command = new ArrayList<>();
        command.add(mProgram.toString());
        command.addAll(List.of(arguments));
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
        builder.environment().put("CATKIN_OPERATOR_KEY", DemoSettings.OPERATOR_KEY);
        builder.environment().put("CATKIN_SERVER", "http://" + mOperators);
        try {
            Process process = builder.start();
            process.getOutputStream().close();
            byte[] output = process.getInputStream().readAllBytes();
            return new Result(process.waitFor(), new String(output, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new UncheckedIOException("can not run " + mProgram, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** What a command did. */
    record Result(int exitCode, String output) {}
}
