package org.catkinproxy.chaos;

import org.catkinproxy.demo.FilingAnswer;
import org.catkinproxy.demo.Member;
import org.catkinproxy.demo.ServiceLog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** What callers were told of every filing. Safe for use by any thread; one lock. */
final class FilingBook {
    private final List<Entry> mEntries = new ArrayList<>();

    /**
     * Notes the answers to one filing.
     *
     * @param alone whether one caller sent it; of several, one may rightly be told {@code not_run}
     */
    synchronized void add(String key, boolean alone, List<FilingAnswer> answers) {
        mEntries.add(new Entry(key, alone, List.copyOf(answers)));
    }

    /** Compares all answers with what the services executed. */
    synchronized void audit(List<Member> services, Ledger ledger) {
        Map<String, Integer> executions = new HashMap<>();
        for (Member service : services) {
            ServiceLog.read(service).forEach(key -> executions.merge(key, 1, Integer::sum));
        }
        for (Entry entry : mEntries) {
            audit(entry, executions.getOrDefault(entry.key(), 0), ledger);
        }
    }

    private static void audit(Entry entry, int executions, Ledger ledger) {
        String evidence = entry.key() + " executed " + executions + " times, " + entry.kinds();
        ledger.check(Promise.FILING_ONCE, executions <= 1, evidence);
        List<String> done =
                entry.answers().stream()
                        .filter(a -> a.kind() == FilingAnswer.Kind.DONE)
                        .map(FilingAnswer::body)
                        .distinct()
                        .toList();
        if (!done.isEmpty()) {
            boolean kept = executions == 1 && done.size() == 1;
            ledger.check(Promise.FILING_KEPT, kept, evidence + " " + done);
        }
        FilingAnswer last = entry.answers().get(entry.answers().size() - 1);
        if (entry.alone() && last.kind() == FilingAnswer.Kind.NOT_RUN) {
            ledger.check(Promise.NOT_RUN_TRUE, executions == 0, evidence);
        }
    }

    private record Entry(String key, boolean alone, List<FilingAnswer> answers) {
        List<String> kinds() {
            return answers.stream().map(a -> a.kind() + " " + a.code()).toList();
        }
    }
}
