package org.catkinproxy.cli;

import com.google.common.base.Splitter;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Every command, with its words and one line of help. Immutable. */
enum CommandKind {
    STATUS("status", "show the daemon's state", Listings::status),
    WORKSPACES("workspaces", "list workspaces and their objectives", Listings::workspaces),
    MODELS("models", "list the weights that answer for each model", Listings::models),
    ENGINES("engines", "list engines with load and state", Listings::engines),
    INSTANCES("instances", "list all known instances", Listings::instances),
    SHEET_CHECK("sheet check", "check a sheet, without a daemon", SheetCheckCommand::new),
    SHEET_DIFF("sheet diff", "compare a sheet with the one in force", SheetDiffCommand::new),
    SHEET_APPLY("sheet apply", "have a sheet accepted", SheetApplyCommand::new),
    SHEET_HISTORY("sheet history", "list accepted revisions", Listings::history),
    SHEET_ROLLBACK(
            "sheet rollback",
            "have an earlier sheet accepted as a new revision",
            SheetRollbackCommand::new),
    SHEET_SHOW("sheet show", "print the sheet in force, or an earlier one", SheetShowCommand::new),
    STOP("stop", "begin a planned stop of an instance or engine", StopCommand::new),
    CALLS_LIST("calls list", "list calls whose outcome is unknown", CallsListCommand::new),
    CALLS_SHOW("calls show", "show a call that may run once", CallsShowCommand::new),
    CALLS_RESOLVE(
            "calls resolve", "settle a call whose outcome is unknown", CallsResolveCommand::new),
    ROUTE_EXPLAIN("route explain", "show where a prompt would go, and why", ExplainCommand::new),
    BURN("burn", "report on service levels over all daemons", BurnCommand::new);

    private final String mWords;
    private final String mHelp;
    private final Supplier<Command> mCreate;

    CommandKind(String words, String help, Supplier<Command> create) {
        mWords = words;
        mHelp = help;
        mCreate = create;
    }

    /** Returns the command that the words begin with, if there is one. */
    static Optional<CommandKind> find(List<String> words) {
        for (CommandKind kind : values()) {
            List<String> own = kind.wordList();
            if (words.size() >= own.size() && words.subList(0, own.size()).equals(own)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }

    String words() {
        return mWords;
    }

    List<String> wordList() {
        return Splitter.on(' ').splitToList(mWords);
    }

    String help() {
        return mHelp;
    }

    Command create() {
        return mCreate.get();
    }
}
