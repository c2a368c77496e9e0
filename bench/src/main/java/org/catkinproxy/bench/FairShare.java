package org.catkinproxy.bench;

/**
 * What each workspace should get when there is not enough: all the same, but none more than it asks
 * for. Stateless.
 */
final class FairShare {
    private FairShare() {}

    /** Returns the max-min fair division of {@code capacity} among the demands. */
    static double[] divide(double capacity, double[] demands) {
        double[] given = new double[demands.length];
        boolean[] done = new boolean[demands.length];
        double left = capacity;
        int open = demands.length;
        while (open > 0) {
            double each = left / open;
            boolean satisfied = false;
            for (int i = 0; i < demands.length; i++) {
                if (!done[i] && demands[i] <= each) {
                    given[i] = demands[i];
                    left -= demands[i];
                    done[i] = true;
                    open--;
                    satisfied = true;
                }
            }
            if (!satisfied) {
                for (int i = 0; i < demands.length; i++) {
                    given[i] = done[i] ? given[i] : each;
                }
                return given;
            }
        }
        return given;
    }
}
