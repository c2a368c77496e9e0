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

    /** Compares all answers with how often the services executed each filing. */
    synchronized void audit(Map<String, Integer> executions, Ledger ledger) {
        for (Entry entry : mEntries) {
            auditEntry(entry, executions.getOrDefault(entry.key(), 0), ledger);
        }
    }

    /** Returns how often the services executed each filing. */
    static Map<String, Integer> executions(List<Member> services) {
        Map<String, Integer> executions = new HashMap<>();
        for (Member service : services) {
            ServiceLog.read(service).forEach(key -> executions.merge(key, 1, Integer::sum));
        }
        return executions;
    }

    private static void auditEntry(Entry entry, int executions, Ledger ledger) {
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
