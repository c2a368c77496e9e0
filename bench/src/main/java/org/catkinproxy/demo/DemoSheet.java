package org.catkinproxy.demo;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** The sheets of a cluster, in CSV. Stateless, so safe for use by any thread. */
public final class DemoSheet {
    /** The workspaces; each has the key {@link #keyOf}. */
    public static final List<String> WORKSPACES = List.of("coatings", "buses");

    /** The model that every workspace uses. */
    public static final String MODEL = "review";

    /** The adapter of the model. */
    public static final String ADAPTER = "base";

    /** The plain service, whose {@code POST /filings} may run at most once. */
    public static final String SERVICE = "register";

    private static final String HEADINGS =
            "kind,workspace,model,adapter,version,pool,instance,service,match,value";

    private DemoSheet() {}

    /** Returns the caller's key of a workspace. */
    public static String keyOf(String workspace) {
        return workspace + "-key";
    }

    /**
     * Returns a sheet.
     *
     * @param cluster whose engines and services are members
     * @param version the version of the weights
     * @param pool the pool that serves the model
     * @param leaving the ids of the instances that are to leave
     */
    public static String csv(Cluster cluster, String version, String pool, Set<String> leaving) {
        List<Member> upstreams = new ArrayList<>(cluster.engines());
        upstreams.addAll(cluster.services());
        return csv(upstreams, version, pool, leaving);
    }

    /** Returns the sheet whose engines and services are {@code upstreams}. */
    public static String csv(
            List<Member> upstreams, String version, String pool, Set<String> leaving) {
        List<String> rows = new ArrayList<>();
        rows.add(HEADINGS);
        rows.add("pool,,,,,gpu-a,,,,fencing=checked loads=2");
        rows.add("pool,,,,,gpu-b,,,,fencing=ignored loads=2");
        rows.add("pool,,,,,desk,,,,");
        for (Member upstream : upstreams) {
            String change = leaving.contains(upstream.id()) ? "leave" : "join";
            rows.add("instance,,,,," + upstream.pool() + "," + upstream.id() + ",,," + change);
        }
        for (String workspace : WORKSPACES) {
            addWorkspace(rows, workspace, version, pool);
        }
        return String.join("\n", rows) + "\n";
    }

    private static void addWorkspace(
            List<String> rows, String workspace, String version, String pool) {
        rows.add("workspace," + workspace + ",,,,,,,,share=1 first_token_ms=1000");
        rows.add("key," + workspace + ",,,,,,,," + DemoSettings.digest(keyOf(workspace)));
        rows.add(
                String.join(
                        ",", "model", workspace, MODEL, ADAPTER, version, pool, "", "", "", ""));
        rows.add("service," + workspace + ",,,,desk,," + SERVICE + ",,");
        rows.add("request," + workspace + ",,,,,," + SERVICE + ",POST /filings,filing");
    }
}
