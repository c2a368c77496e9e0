/** Desired states of a small deployment. Stateless. */
final class Config {
    private Config() {}

    /**
     * Returns a desired state with a route of each kind.
     *
     * @param keys the keys of the only tenant, as JSON strings
     */
    static String of(int version, String keys) {
        return """
                {"version":%d,"routes":[
                 {"name":"lookup","host":"h","prefix":"/lookup/","kind":"safe",
                  "timeout-ms":1000,"goal-ms":193,"priority":2,"service":"desk","attempts":2},
                 {"name":"file","host":"h","prefix":"/file/","kind":"unsafe",
                  "timeout-ms":1000,"goal-ms":193,"priority":2,"service":"desk","attempts":1},
                 {"name":"check","host":"h","prefix":"/check/","kind":"stream",
                  "timeout-ms":6000,"goal-ms":600,"priority":1,"service":"models","attempts":2,
                  "sticky":true,"resumable":true,"gap-target-ms":250},
                 {"name":"note","host":"h","prefix":"/note/","kind":"stream",
                  "timeout-ms":15000,"goal-ms":300,"priority":0,"service":"models","attempts":1,
                  "sticky":true,"gap-target-ms":250}],
                 "services":[
                  {"name":"desk","health-path":"/healthz","max-conns":96,"protocol":"h1"},
                  {"name":"models","health-path":"/healthz","max-conns":360,"protocol":"h1",
                   "engine":{"slots":64,"kv-capacity":106752,"kv-token-bytes":163840,
                             "link-mbps":180000.0,"max-inflight":12}}],
                 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,
                           "header-timeout-ms":3000,"idle-timeout-ms":15000},
                 "tenants":[{"name":"coatings","api-keys":[%s],"priority":3}]}
                """
                .formatted(version, keys);
    }
}
