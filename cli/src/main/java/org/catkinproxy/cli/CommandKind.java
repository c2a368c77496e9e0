package org.catkinproxy.cli;

import com.google.common.base.Splitter;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** All commands, each with its name, a one-line summary and a factory. Immutable. */
enum CommandKind {
    STATUS("status", "show the daemon's state", ListCommands::status),
    WORKSPACES("workspaces", "list workspaces and their objectives", ListCommands::workspaces),
    MODELS("models", "list the weights that serve each model", ListCommands::models),
    ENGINES("engines", "list engines with load and state", ListCommands::engines),
    INSTANCES("instances", "list all known instances", ListCommands::instances),
    SHEET_CHECK("sheet check", "check a sheet, without a daemon", SheetCheckCommand::new),
    SHEET_DIFF("sheet diff", "compare a sheet with the one in force", SheetDiffCommand::new),
    SHEET_APPLY("sheet apply", "apply a sheet as a new revision", SheetApplyCommand::new),
    SHEET_HISTORY("sheet history", "list accepted revisions", ListCommands::sheetHistory),
    SHEET_ROLLBACK(
            "sheet rollback",
            "apply an earlier sheet as a new revision",
            SheetRollbackCommand::new),
    SHEET_SHOW("sheet show", "print the sheet in force, or an earlier one", SheetShowCommand::new),
    STOP("stop", "start a graceful stop of an instance or engine", StopCommand::new),
    CALLS_LIST("calls list", "list calls whose outcome is unknown", CallsListCommand::new),
    CALLS_SHOW("calls show", "show an at-most-once call", CallsShowCommand::new),
    CALLS_RESOLVE(
            "calls resolve",
            "record the outcome of a call whose outcome is unknown",
            CallsResolveCommand::new),
    ROUTE_EXPLAIN(
            "route explain",
            "show which engine a prompt would be routed to, and why",
            RouteExplainCommand::new),
    BURN("burn", "report burn rates over the requests of all daemons", BurnCommand::new);

    private final String mCommandName;
    private final String mSummary;
    private final Supplier<Command> mFactory;

    CommandKind(String commandName, String summary, Supplier<Command> factory) {
        mCommandName = commandName;
        mSummary = summary;
        mFactory = factory;
    }

    /** Returns the command whose name the arguments start with, empty if there is none. */
    static Optional<CommandKind> find(List<String> arguments) {
        for (CommandKind kind : values()) {
            List<String> nameWords = kind.commandWords();
            if (arguments.size() >= nameWords.size()
                    && arguments.subList(0, nameWords.size()).equals(nameWords)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    String commandName() {
        return mCommandName;
    }

    List<String> commandWords() {
        return Splitter.on(' ').splitToList(mCommandName);
    }

    String summary() {
        return mSummary;
    }

    Command create() {
        return mFactory.get();
    }
}
