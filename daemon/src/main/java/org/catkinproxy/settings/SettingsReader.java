package org.catkinproxy.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.net.HostAndPort;

import org.catkinproxy.id.DataCentreId;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.route.DispatchSettings;
import org.catkinproxy.route.RoutingPolicy;

import java.net.URI;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Pattern;

/**
 * Turns the parsed file into settings, recording every error on the way.
 *
 * <p>Used once and then dropped; not safe for use by several threads.
 */
final class SettingsReader {
    private static final Pattern DIGEST = Pattern.compile("[0-9a-f]{64}");
    private static final int MAX_WEIGHT = 1_000;
    private static final int MAX_COUNT = 1_000_000;
    private static final int MAX_BODY_BYTES = 256 * 1024 * 1024;
    private static final int MIN_HEADER_BYTES = 1_024;
    private static final int MAX_HEADER_BYTES = 1024 * 1024;
    private static final int DEFAULT_MAX_QUEUED = 2_048;
    private static final Duration MAX_TIMEOUT = Duration.ofMinutes(10);
    private static final Duration MAX_WINDOW = Duration.ofDays(1);
    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration DEFAULT_CALL_TIMEOUT = Duration.ofSeconds(2);

    /** Longer than the longest answer: 32,768 tokens at 31 ms take 17 minutes. */
    private static final Duration DEFAULT_STOP_GRACE = Duration.ofMinutes(30);

    private static final Duration DEFAULT_ENTRIES_TTL = Duration.ofSeconds(5);

    private final SettingsTable mRoot;
    private final Path mBase;
    private final Map<String, String> mEnvironment;
    private final List<SettingsError> mErrors;

    SettingsReader(
            JsonNode root, Path base, Map<String, String> environment, List<SettingsError> errors) {
        mRoot = SettingsTable.root(root, errors);
        mBase = base;
        mEnvironment = environment;
        mErrors = errors;
    }

    /** Returns the settings, or null if there are errors. */
    Settings read() {
        InstanceId instance = mRoot.required("instance", "a name", InstanceId::of);
        DataCentreId dataCentre = mRoot.required("data_centre", "a name", DataCentreId::of);
        int weight = mRoot.integer("weight", 1, 1, MAX_WEIGHT);
        Map<ListenerKind, Listener> listeners = listeners();
        PlatformSettings platform = platform();
        Map<String, String> operators = operators();
        Secrets secrets = secrets();
        DispatchSettings dispatch = dispatch();
        Limits limits = limits();
        Duration grace = mRoot.millis("stop_grace_ms", DEFAULT_STOP_GRACE, MAX_WINDOW);
        Duration ttl = mRoot.millis("entries_ttl_ms", DEFAULT_ENTRIES_TTL, MAX_TIMEOUT);
        BurnWindows windows = burnWindows();
        mRoot.refuseUnknownKeys();
        if (!mErrors.isEmpty()) {
            return null;
        }
        return new Settings(
                instance,
                dataCentre,
                weight,
                listeners.get(ListenerKind.CALLERS),
                listeners.get(ListenerKind.OPERATORS),
                listeners.get(ListenerKind.PEERS),
                platform,
                operators,
                secrets,
                dispatch,
                limits,
                grace,
                ttl,
                windows);
    }

    private Map<ListenerKind, Listener> listeners() {
        SettingsTable listen = mRoot.table("listen");
        SettingsTable tls = mRoot.table("tls");
        Map<ListenerKind, Listener> listeners = new TreeMap<>();
        for (ListenerKind kind : ListenerKind.values()) {
            String key = kind.key();
            HostAndPort address =
                    listen.required(
                            key, "IP number and port, as in 10.0.0.1:8080", this::hostAndPort);
            Optional<TlsFiles> files = tls.has(key) ? tls(kind, tls.table(key)) : absent(tls, key);
            if (address != null) {
                listeners.put(kind, new Listener(address.getHost(), address.getPort(), files));
            }
        }
        listen.refuseUnknownKeys();
        tls.refuseUnknownKeys();
        return listeners;
    }

    private static Optional<TlsFiles> absent(SettingsTable tls, String key) {
        tls.table(key);
        return Optional.empty();
    }

    private HostAndPort hostAndPort(String text) {
        HostAndPort address = HostAndPort.fromString(text);
        if (!address.hasPort() || address.getHost().isEmpty()) {
            throw new IllegalArgumentException("host or port is missing");
        }
        return address;
    }

    private Optional<TlsFiles> tls(ListenerKind kind, SettingsTable table) {
        requireKeys(
                table,
                kind.isMutual()
                        ? List.of("certificate", "key", "trust")
                        : List.of("certificate", "key"),
                "the path of a PEM file");
        Optional<Path> certificate = table.file("certificate", mBase);
        Optional<Path> key = table.file("key", mBase);
        Optional<Path> trust = table.file("trust", mBase);
        table.refuseUnknownKeys();
        if (certificate.isEmpty() || key.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new TlsFiles(certificate.get(), key.get(), trust));
    }

    private static void requireKeys(SettingsTable table, List<String> keys, String wants) {
        for (String key : keys) {
            if (!table.has(key)) {
                table.error(key, "nothing", wants);
            }
        }
    }

    private PlatformSettings platform() {
        SettingsTable table = mRoot.table("platform");
        Optional<URI> all = table.httpAddress("url");
        URI rows = service(table, "table", all);
        URI objects = service(table, "objects", all);
        URI instances = service(table, "instances", all);
        Duration connect = table.millis("connect_timeout_ms", DEFAULT_CONNECT_TIMEOUT, MAX_TIMEOUT);
        Duration call = table.millis("call_timeout_ms", DEFAULT_CALL_TIMEOUT, MAX_TIMEOUT);
        table.refuseUnknownKeys();
        if (rows == null || objects == null || instances == null) {
            return null;
        }
        return new PlatformSettings(rows, objects, instances, connect, call);
    }

    private static URI service(SettingsTable table, String key, Optional<URI> all) {
        if (!table.has(key) && !table.has("url")) {
            table.error(key, "nothing", "an address here or in platform.url");
        }
        return table.httpAddress(key).or(() -> all).orElse(null);
    }

    private Map<String, String> operators() {
        SettingsTable table = mRoot.table("operators");
        Map<String, String> digests = new TreeMap<>();
        for (String name : table.keys()) {
            table.optional(name, "a SHA-256 digest, 64 hexadecimal digits", this::digest)
                    .ifPresent(d -> digests.put(name, d));
        }
        if (table.keys().isEmpty()) {
            mRoot.error("operators", "nothing", "NAME = DIGEST for at least one operator");
        }
        return digests;
    }

    private String digest(String text) {
        String digest = text.toLowerCase(Locale.ROOT);
        if (!DIGEST.matcher(digest).matches()) {
            throw new IllegalArgumentException("not a digest");
        }
        return digest;
    }

    private Secrets secrets() {
        SettingsTable table = mRoot.table("secrets");
        SecretSource source = new SecretSource(table, mBase, mEnvironment);
        Optional<byte[]> resume = source.read("resume_token_key");
        Optional<byte[]> receipt = source.read("call_receipt_key");
        table.refuseUnknownKeys();
        if (resume.isEmpty() || receipt.isEmpty()) {
            return null;
        }
        return Secrets.of(resume.get(), receipt.get());
    }

    private DispatchSettings dispatch() {
        SettingsTable table = mRoot.table("routing");
        RoutingPolicy policy =
                table.optional("policy", "hit_first or tail_first", this::policy)
                        .orElse(RoutingPolicy.HIT_FIRST);
        int queued = table.integer("max_queued", DEFAULT_MAX_QUEUED, 1, MAX_COUNT);
        table.refuseUnknownKeys();
        return new DispatchSettings(policy, queued);
    }

    private RoutingPolicy policy(String text) {
        for (RoutingPolicy policy : RoutingPolicy.values()) {
            if (policy.wireName().equals(text)) {
                return policy;
            }
        }
        throw new IllegalArgumentException("not a policy");
    }

    private Limits limits() {
        SettingsTable table = mRoot.table("limits");
        Limits base = Limits.DEFAULT;
        Limits limits =
                new Limits(
                        table.integer("max_body_bytes", base.maxBodyBytes(), 1, MAX_BODY_BYTES),
                        table.integer(
                                "max_header_bytes",
                                base.maxHeaderBytes(),
                                MIN_HEADER_BYTES,
                                MAX_HEADER_BYTES),
                        table.millis("body_read_timeout_ms", base.bodyReadTimeout(), MAX_TIMEOUT),
                        table.millis("stream_idle_ms", base.streamIdle(), MAX_TIMEOUT),
                        table.millis("heartbeat_ms", base.heartbeat(), MAX_TIMEOUT),
                        table.integer(
                                "requests_per_second", base.requestsPerSecond(), 1, MAX_COUNT),
                        table.integer(
                                "max_concurrent_requests",
                                base.maxConcurrentRequests(),
                                1,
                                MAX_COUNT));
        table.refuseUnknownKeys();
        return limits;
    }

    private BurnWindows burnWindows() {
        SettingsTable table = mRoot.table("burn");
        BurnWindows base = BurnWindows.DEFAULT;
        Duration brief = table.millis("short_window_ms", base.shortWindow(), MAX_WINDOW);
        Duration extended = table.millis("long_window_ms", base.longWindow(), MAX_WINDOW);
        table.refuseUnknownKeys();
        if (brief.compareTo(extended) >= 0) {
            table.error(
                    "short_window_ms",
                    Long.toString(brief.toMillis()),
                    "less than burn.long_window_ms, " + extended.toMillis());
            return base;
        }
        return new BurnWindows(brief, extended);
    }

    /** The three listeners of a daemon. */
    private enum ListenerKind {
        CALLERS,
        OPERATORS,
        PEERS;

        String key() {
            return name().toLowerCase(Locale.ROOT);
        }

        /** Tells whether both ends of a TLS connection show a certificate. */
        boolean isMutual() {
            return this == PEERS;
        }
    }
}
