package org.catkinproxy.settings;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.id.InstanceId;
import org.catkinproxy.route.RoutingPolicy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Stream;

class SettingsFileTest {
    private static final Path EXAMPLES = Path.of("..", "examples");
    private static final Path FILE = Path.of("catkin.toml");
    private static final Map<String, String> ENVIRONMENT =
            Map.of(
                    "CATKIN_RESUME_TOKEN_KEY", "0123456789abcdef",
                    "CATKIN_CALL_RECEIPT_KEY", "fedcba9876543210");

    @Example
    void readsTheMinimalExample() {
        Settings settings = SettingsFile.load(EXAMPLES.resolve("minimal.toml"), Map.of());
        assertThat(settings.instance()).isEqualTo(InstanceId.of("entry-1"));
        assertThat(settings.callers().address()).isEqualTo("127.0.0.1:8080");
        assertThat(settings.platform().objects().toString()).isEqualTo("http://127.0.0.1:9000");
        assertThat(settings.operatorDigests()).containsKey("alice");
    }

    @Example
    void readsEveryExample() throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.walk(EXAMPLES)) {
            files = all.filter(f -> f.toString().endsWith(".toml")).toList();
        }
        assertThat(files.size()).isAtLeast(2);
        for (Path file : files) {
            assertThat(SettingsFile.load(file, ENVIRONMENT)).isNotNull();
        }
    }

    @Example
    void theFullExampleStatesTheDefaults() {
        Settings full = SettingsFile.load(EXAMPLES.resolve("full.toml"), ENVIRONMENT);
        Settings minimal = SettingsFile.load(EXAMPLES.resolve("minimal.toml"), Map.of());
        assertThat(full.limits()).isEqualTo(minimal.limits());
        assertThat(full.dispatch()).isEqualTo(minimal.dispatch());
        assertThat(full.platform()).isEqualTo(minimal.platform());
        assertThat(full.burnWindows()).isEqualTo(minimal.burnWindows());
        assertThat(full.stopGrace()).isEqualTo(minimal.stopGrace());
        assertThat(full.entriesTtl()).isEqualTo(minimal.entriesTtl());
    }

    @Example
    void readsWhatIsSet() throws IOException {
        String text =
                minimal()
                        + "[routing]\npolicy = \"tail_first\"\n"
                        + "[limits]\nheartbeat_ms = 250\nmax_body_bytes = 1000\n";
        Settings settings = parse(text);
        assertThat(settings.dispatch().policy()).isEqualTo(RoutingPolicy.TAIL_FIRST);
        assertThat(settings.limits().heartbeat()).isEqualTo(Duration.ofMillis(250));
        assertThat(settings.limits().maxBodyBytes()).isEqualTo(1000);
    }

    @Example
    void reportsEveryErrorAtOnce() throws IOException {
        String text =
                minimal().replace("\"entry-1\"", "7").replace("127.0.0.1:8081", "127.0.0.1")
                        + "[routing]\npolicy = \"fast\"\n"
                        + "[limits]\nmax_body_bytes = -1\nbody = 3\n";
        String message = refusal(text);
        assertThat(message).contains("catkin.toml has 5 errors");
        assertThat(message).contains("instance: found 7, wants a string");
        assertThat(message).contains("listen.operators: found \"127.0.0.1\", wants IP number");
        assertThat(message).contains("routing.policy: found \"fast\", wants hit_first or tail");
        assertThat(message).contains("limits.max_body_bytes: found -1, wants a whole number");
        assertThat(message).contains("limits.body: found an unknown key, wants one of");
    }

    @Example
    void namesEveryMissingKey() {
        String message = refusal("");
        assertThat(message).contains("instance: found nothing");
        assertThat(message).contains("listen.peers: found nothing");
        assertThat(message).contains("platform.table: found nothing");
        assertThat(message).contains("operators: found nothing");
        assertThat(message).contains("secrets.resume_token_key: found nothing");
    }

    @Example
    void repeatsNoSecret() throws IOException {
        String shortKey = "s3cr3t";
        String text = minimal().replace("a-resume-token-key-for-trials", shortKey);
        assertThat(refusal(text)).contains("secrets.resume_token_key: found 6 bytes");
        assertThat(refusal(text)).doesNotContain(shortKey);
        assertThat(refusal(text.replace("s3cr3t\"", "s3cr3t"))).doesNotContain(shortKey);
    }

    @Example
    void peersWithTlsNeedTrust() throws IOException {
        String message = refusal(minimal() + "[tls.peers]\ncertificate = \"x\"\nkey = \"y\"\n");
        assertThat(message).contains("tls.peers.trust: found nothing");
        assertThat(message).contains("tls.peers.certificate: found no readable file");
    }

    @Example
    void missingFileIsTypedError() {
        CatkinException e = thrownBy(() -> SettingsFile.load(Path.of("no", "such.toml")));
        assertThat(e.code()).isEqualTo(ErrorCode.INVALID_SETTINGS);
        assertThat(e).hasMessageThat().contains("such.toml");
    }

    @Property(seed = "1", tries = 300)
    void anyTextIsTypedError(@ForAll String text) {
        assertThat(refusal(text)).contains("catkin.toml");
    }

    @Property(seed = "1", tries = 300)
    void anyDamagedFileGivesSettingsOrTypedError(@ForAll int at, @ForAll char replacement)
            throws IOException {
        StringBuilder text = new StringBuilder(minimal());
        text.setCharAt(Math.floorMod(at, text.length()), replacement);
        try {
            assertThat(parse(text.toString())).isNotNull();
        } catch (CatkinException e) {
            assertThat(e.code()).isEqualTo(ErrorCode.INVALID_SETTINGS);
        }
    }

    private static String minimal() throws IOException {
        return Files.readString(EXAMPLES.resolve("minimal.toml"));
    }

    private static Settings parse(String text) {
        return SettingsFile.parse(FILE, text, Path.of(""), Map.of());
    }

    private static String refusal(String text) {
        CatkinException e = thrownBy(() -> parse(text));
        assertThat(e.code()).isEqualTo(ErrorCode.INVALID_SETTINGS);
        return e.getMessage();
    }

    private static CatkinException thrownBy(Supplier<Settings> reading) {
        try {
            reading.get();
        } catch (CatkinException e) {
            return e;
        }
        throw new AssertionError("no exception");
    }
}
