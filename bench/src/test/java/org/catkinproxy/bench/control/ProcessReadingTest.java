package org.catkinproxy.bench.control;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;

final class ProcessReadingTest {
    private static final String STAT =
            "29044 (a (b) c) R 29012 29012 26770 0 -1 4194304 98 0 0 0 1234 567 11 13 20 0 1 0"
                    + " 352697 3133440 359 18446744073709551615 0 0 0 0 0 0 0 0 0 0 0 0 17 5\n";
    private static final String STATUS =
            "Name:\ta (b) c\nVmHWM:\t  210000 kB\nVmRSS:\t  201200 kB\nRssAnon:\t  180000 kB\n";
    private static final String IO =
            "rchar: 6976\nwchar: 24\nsyscr: 10\nsyscw: 3\nread_bytes: 0\nwrite_bytes: 4096\n";

    @Example
    void readsOwnTimeAndNotThatOfChildren() {
        ProcessReading reading = ProcessReading.parse(7, STAT, STATUS, IO);
        assertThat(reading).isEqualTo(new ProcessReading(7, 1_234 + 567, 201_200, 6_976 + 24));
    }

    @Example
    void refusesTextWithoutTheField() {
        IllegalArgumentException refusal = null;
        try {
            ProcessReading.parse(7, STAT, "Name:\tx\n", IO);
        } catch (IllegalArgumentException e) {
            refusal = e;
        }
        assertThat(refusal).hasMessageThat().contains("VmRSS:");
    }

    @Example
    void readsTotalOfHistogram() {
        String histogram =
                " num     #instances         #bytes  class name (module)\n"
                        + "   1:         10000        1600000  [B (java.base@17)\n"
                        + "Total        123456        7654321\n";
        assertThat(ControlMain.liveBytes(histogram)).isEqualTo(7_654_321);
    }
}
