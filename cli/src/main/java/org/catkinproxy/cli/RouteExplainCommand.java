package org.catkinproxy.cli;

import org.catkinproxy.admin.CandidateView;
import org.catkinproxy.admin.ExplainRouteRequest;
import org.catkinproxy.admin.RouteView;
import org.kohsuke.args4j.Option;

import java.nio.file.Path;

/** Shows which engine a prompt would be routed to, and why. Single use; not thread-safe. */
final class RouteExplainCommand extends Command {
    @Option(
            name = "--workspace",
            metaVar = "NAME",
            required = true,
            usage = "the workspace that would send the prompt")
    private String mWorkspace;

    @Option(name = "--model", metaVar = "NAME", required = true, usage = "the model")
    private String mModel;

    @Option(name = "--prompt", metaVar = "TEXT", usage = "the prompt", forbids = "--prompt-file")
    private String mPrompt;

    @Option(name = "--prompt-file", metaVar = "FILE", usage = "a file that holds the prompt")
    private Path mPromptFile;

    @Override
    void run(CommandContext context) {
        if (mPrompt == null && mPromptFile == null) {
            throw new CliException(ExitCode.USAGE, "--prompt or --prompt-file is required");
        }
        String prompt = mPrompt == null ? SheetFiles.read(mPromptFile) : mPrompt;
        RouteView route =
                context.client()
                        .postJson(
                                "/operator/explain",
                                new ExplainRouteRequest(mWorkspace, mModel, prompt),
                                RouteView.class);
        context.print(route, format(route));
    }

    private static String format(RouteView route) {
        TextTable table =
                TextTable.of("", "ENGINE", "CACHED TOKENS", "QUEUE", "FIRST TOKEN", "COST");
        for (CandidateView c : route.candidates()) {
            table.addRow(
                    c.engine().equals(route.choice()) ? "*" : "",
                    c.engine(),
                    c.cachedTokens(),
                    formatMillis(c.queueMillis()),
                    formatMillis(c.firstTokenMillis()),
                    formatMillis(c.costMillis()));
        }
        String choice =
                route.choice().isEmpty() ? "no engine can serve the prompt" : "* " + route.choice();
        return table
                + choice
                + " by policy "
                + route.policy()
                + " for "
                + route.promptTokens()
                + " prompt tokens\n";
    }

    private static String formatMillis(double value) {
        return String.format("%.1f ms", value);
    }
}
