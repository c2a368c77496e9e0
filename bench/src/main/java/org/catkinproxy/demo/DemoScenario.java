package org.catkinproxy.demo;

import org.catkinproxy.standin.Tokens;
import org.catkinproxy.standin.WeightsName;

import okhttp3.Request;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Set;

/** Sends real requests through a cluster and checks what comes back. Used by one thread. */
final class DemoScenario {
    private static final int PROMPT_BYTES = 64 * 1024;
    private static final int MAX_TOKENS = 40;
    private static final int TRIES = 3;
    private static final String VERSION = "v1";

    private final Cluster mCluster;
    private final Checks mChecks;
    private final CommandLineTool mTool;
    private final Operator mOperator = new Operator();
    private final Caller mCaller;

    DemoScenario(Cluster cluster, Path ctl, Checks checks) {
        mCluster = cluster;
        mChecks = checks;
        Member first = cluster.daemons().get(0);
        mTool = new CommandLineTool(ctl, first.operators());
        List<String> known = cluster.daemons().stream().map(Member::address).toList();
        mCaller = new Caller(known, DemoSheet.keyOf("coatings"));
    }

    void run() {
        mChecks.step("first sheet", () -> applySheet("gpu-a"));
        mChecks.step("entries", this::showEntries);
        mChecks.step("long prompt", this::showCache);
        mChecks.step("filing", this::showFiling);
        mChecks.step("second sheet", this::showSecondSheet);
    }

    private Void applySheet(String pool) throws IOException {
        Path sheet = mCluster.directory().resolve("sheet-" + pool + ".csv");
        Files.writeString(sheet, DemoSheet.csv(mCluster, VERSION, pool, Set.of()));
        CommandLineTool.Result result = mTool.run("sheet", "apply", sheet.toString());
        mChecks.check(
                "sheet for " + pool + " applied", result.exitCode() == 0, result.output().strip());
        mCluster.daemons().forEach(mCluster::awaitReady);
        long revision = mOperator.revision(mCluster.daemons().get(0));
        Cluster.await("revision " + revision, () -> isInForce(revision));
        Cluster.await("weights in " + pool, () -> hasWeights(pool));
        return null;
    }

    private boolean isInForce(long revision) {
        try {
            for (Member daemon : mCluster.daemons()) {
                if (mOperator.revision(daemon) < revision) {
                    return false;
                }
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private boolean hasWeights(String pool) {
        return mCluster.engines().stream()
                .filter(e -> e.pool().equals(pool))
                .allMatch(this::hasWeights);
    }

    private boolean hasWeights(Member engine) {
        try {
            Request request = new Request.Builder().url(engine.url() + "/v1/load").build();
            Web.Answer answer = Web.send(Web.bounded(Duration.ofSeconds(1)), request);
            return answer.json().path("weights").findValuesAsText("version").contains(VERSION);
        } catch (IOException e) {
            return false;
        }
    }

    private Void showEntries() {
        List<String> entries = mCaller.entries();
        mChecks.check(
                "entries named", entries.size() == mCluster.daemons().size(), entries.toString());
        return null;
    }

    private Void showCache() {
        String prompt = Prompts.text("standard", PROMPT_BYTES);
        StreamOutcome first = mCaller.complete(prompt, MAX_TOKENS, TRIES);
        checkWhole("long prompt, first time", prompt, first);
        Cluster.sleep(Duration.ofSeconds(1));
        StreamOutcome second = mCaller.complete(prompt, MAX_TOKENS, TRIES);
        checkWhole("long prompt, second time", prompt, second);
        mChecks.check(
                "prefix found in the cache",
                second.cachedTokens() > 0,
                first.cachedTokens() + " tokens, then " + second.cachedTokens());
        return null;
    }

    private Void showFiling() {
        String key = "filing-" + System.nanoTime();
        FilingAnswer first = mCaller.file(key, "{\"coating\":\"D-17\"}", 1).get(0);
        FilingAnswer second = mCaller.file(key, "{\"coating\":\"D-17\"}", 1).get(0);
        mChecks.check(
                "filing recorded",
                first.kind() == FilingAnswer.Kind.DONE,
                first.status() + " " + first.body());
        mChecks.check(
                "same filing again gives the recorded answer",
                second.body().equals(first.body()),
                second.status() + " " + second.body());
        int executions = executions(key);
        mChecks.check("filing executed once", executions == 1, Integer.toString(executions));
        return null;
    }

    private int executions(String key) {
        return mCluster.services().stream()
                .mapToInt(s -> (int) ServiceLog.read(s).stream().filter(key::equals).count())
                .sum();
    }

    private Void showSecondSheet() throws IOException {
        applySheet("gpu-b");
        String prompt = Prompts.text("standard", PROMPT_BYTES);
        StreamOutcome outcome = mCaller.complete(prompt, MAX_TOKENS, TRIES);
        checkWhole("after the second sheet", prompt, outcome);
        String pool =
                mCluster.engines().stream()
                        .filter(e -> e.id().equals(outcome.engine()))
                        .map(Member::pool)
                        .findFirst()
                        .orElse("none");
        mChecks.check("requests go to the other pool", pool.equals("gpu-b"), pool);
        return null;
    }

    private void checkWhole(String what, String prompt, StreamOutcome outcome) {
        WeightsName weights = new WeightsName(DemoSheet.MODEL, DemoSheet.ADAPTER, VERSION);
        Tokens tokens = Tokens.of(prompt, weights);
        String expected = tokens.text(1, tokens.length(MAX_TOKENS));
        mChecks.check(
                what,
                outcome.isDone() && outcome.text().equals(expected),
                String.format(
                        "status %d, engine %s, %d cached tokens, first token after %d ms %s",
                        outcome.status(),
                        outcome.engine(),
                        outcome.cachedTokens(),
                        outcome.firstToken().toMillis(),
                        outcome.error()));
    }
}
