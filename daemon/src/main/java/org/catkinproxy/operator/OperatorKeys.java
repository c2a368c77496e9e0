package org.catkinproxy.operator;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;

import org.catkinproxy.error.CatkinException;
import org.catkinproxy.error.ErrorCode;
import org.catkinproxy.error.Step;

import java.security.MessageDigest;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tells which operator a bearer key belongs to.
 *
 * <p>Only digests are kept. Every digest is compared, in constant time, whatever key is shown.
 * Immutable, and so safe for use by any thread.
 */
public final class OperatorKeys {
    private static final String SCHEME = "bearer ";

    private final Map<String, byte[]> mDigests;

    private OperatorKeys(Map<String, byte[]> digests) {
        mDigests = digests;
    }

    /** Returns the keys with these SHA-256 digests, in hexadecimal, by operator. */
    public static OperatorKeys of(Map<String, String> digestsByOperator) {
        Map<String, byte[]> digests = new TreeMap<>();
        digestsByOperator.forEach(
                (name, hex) ->
                        digests.put(
                                name,
                                BaseEncoding.base16()
                                        .lowerCase()
                                        .decode(hex.toLowerCase(Locale.ROOT))));
        return new OperatorKeys(digests);
    }

    /**
     * Returns the operator whose key an {@code Authorization} header shows.
     *
     * @param header the header's value, or null if there is none
     * @throws CatkinException with code {@code MISSING_KEY} or {@code UNKNOWN_KEY}
     */
    public String authenticate(String header) {
        if (header == null || !header.toLowerCase(Locale.ROOT).startsWith(SCHEME)) {
            throw refused(ErrorCode.MISSING_KEY);
        }
        String key = header.substring(SCHEME.length()).strip();
        byte[] digest = Hashing.sha256().hashString(key, UTF_8).asBytes();
        String operator = null;
        for (Map.Entry<String, byte[]> known : mDigests.entrySet()) {
            if (MessageDigest.isEqual(known.getValue(), digest)) {
                operator = known.getKey();
            }
        }
        if (operator == null) {
            throw refused(ErrorCode.UNKNOWN_KEY);
        }
        return operator;
    }

    private static CatkinException refused(ErrorCode code) {
        return CatkinException.notRun(
                code, Step.AUTHENTICATE, CatkinException.NO_PEER, code.meaning());
    }
}
