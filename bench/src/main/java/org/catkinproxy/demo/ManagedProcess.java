package org.catkinproxy.demo;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A process that can be ended, paused and started again with the same command.
 *
 * <p>Safe for use by any thread; all state is under one lock.
 */
public final class ManagedProcess {
    private static final long END_SECONDS = 5;

    private final String mName;
    private final List<String> mCommand;
    private final Path mLog;
    private Process mProcess;

    /** Creates a process that {@link #start} starts. */
    public ManagedProcess(String name, List<String> command, Path log) {
        mName = name;
        mCommand = List.copyOf(command);
        mLog = log;
    }

    /** Returns a Java process that has this process's class path. */
    public static ManagedProcess java(
            String name, String heap, String mainClass, List<String> arguments, Path log) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.add("-Xmx" + heap);
        command.add("-XX:+UseSerialGC");
        command.add("-XX:TieredStopAtLevel=1");
        command.add("-cp");
        command.add(System.getProperty("java.class.path"));
        command.add(mainClass);
        command.addAll(arguments);
        return new ManagedProcess(name, command, log);
    }

    /** Returns the name. */
    public String name() {
        return mName;
    }

    /** Returns the file to which the process writes. */
    public Path log() {
        return mLog;
    }

    /** Starts the process unless it runs. */
    public synchronized void start() {
        if (isAlive()) {
            return;
        }
        try {
            mProcess =
                    new ProcessBuilder(mCommand)
                            .redirectErrorStream(true)
                            .redirectOutput(ProcessBuilder.Redirect.appendTo(mLog.toFile()))
                            .start();
        } catch (IOException e) {
            throw new UncheckedIOException("can not start " + mName, e);
        }
    }

    /** Returns whether the process runs or is paused. */
    public synchronized boolean isAlive() {
        return mProcess != null && mProcess.isAlive();
    }

    /** Returns the id of the process, which must have been started. */
    public synchronized long pid() {
        return mProcess.pid();
    }

    /** Ends the process at once, as a lost instance does. */
    public synchronized void kill() {
        if (mProcess != null) {
            mProcess.destroyForcibly();
            awaitEnd();
        }
    }

    /** Asks the process to end, and ends it if it does not. */
    public synchronized void terminate() {
        if (mProcess != null) {
            resume();
            mProcess.destroy();
            if (!awaitEnd()) {
                mProcess.destroyForcibly();
            }
        }
    }

    /** Pauses the process. */
    public void pause() {
        signal("STOP");
    }

    /** Resumes a paused process. */
    public void resume() {
        signal("CONT");
    }

    private synchronized void signal(String signal) {
        if (!isAlive()) {
            return;
        }
        try {
            new ProcessBuilder("kill", "-" + signal, Long.toString(mProcess.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException("can not signal " + mName, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean awaitEnd() {
        try {
            return mProcess.waitFor(END_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
