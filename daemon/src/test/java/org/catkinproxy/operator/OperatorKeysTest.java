package org.catkinproxy.operator;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.hash.Hashing;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;

import java.nio.charset.StandardCharsets;
import java.util.Map;

class OperatorKeysTest {
    private static final OperatorKeys KEYS =
            OperatorKeys.of(Map.of("alice", digest("key-a"), "bob", digest("key-b")));

    @Example
    void keyNamesItsOperator() {
        assertThat(KEYS.authenticate("Bearer key-a")).isEqualTo("alice");
        assertThat(KEYS.authenticate("bearer  key-b ")).isEqualTo("bob");
    }

    @Example
    void missingAndUnknownKeysDiffer() {
        assertThat(refusal(null)).isEqualTo(ErrorCode.MISSING_KEY);
        assertThat(refusal("Basic key-a")).isEqualTo(ErrorCode.MISSING_KEY);
        assertThat(refusal("Bearer " + digest("key-a"))).isEqualTo(ErrorCode.UNKNOWN_KEY);
    }

    @Property(seed = "1", tries = 300)
    void anyHeaderIsTypedError(@ForAll String header) {
        assertThat(refusal(header)).isEqualTo(ErrorCode.MISSING_KEY);
        assertThat(refusal("Bearer " + header)).isEqualTo(ErrorCode.UNKNOWN_KEY);
    }

    private static ErrorCode refusal(String header) {
        try {
            throw new AssertionError("accepted as " + KEYS.authenticate(header));
        } catch (CatkinException e) {
            return e.code();
        }
    }

    private static String digest(String key) {
        return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
    }
}
