package org.catkinproxy.call;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

import org.catkinproxy.id.AttemptId;
import org.catkinproxy.id.CallKey;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

/**
 * Signs and verifies receipts, by which an entry instance certifies that an attempt was never sent
 * and never will be.
 *
 * <p>A receipt is {@code ATTEMPT~SIGNATURE}, where the signature is an HMAC-SHA256 in hexadecimal;
 * it is valid for one attempt at one call. All entry instances sign with the same key. Immutable
 * and thread-safe.
 */
public final class CallReceiptSigner {
    private static final char SEPARATOR = '~';

    private final HashFunction mMac;

    private CallReceiptSigner(HashFunction mac) {
        mMac = mac;
    }

    /** Returns a signer that uses this HMAC key. */
    public static CallReceiptSigner withKey(byte[] key) {
        return new CallReceiptSigner(Hashing.hmacSha256(checkNotNull(key, "key")));
    }

    /** Returns a receipt for an attempt at a call. */
    public String sign(CallKey call, AttemptId attempt) {
        return attempt.value() + SEPARATOR + signature(call, attempt);
    }

    /** Returns the attempt that a receipt certifies, empty if it is not valid for this call. */
    public Optional<AttemptId> verify(CallKey call, String receipt) {
        int end = receipt.lastIndexOf(SEPARATOR);
        if (end < 0) {
            return Optional.empty();
        }
        Optional<AttemptId> attempt = parseAttemptId(receipt.substring(0, end));
        byte[] actual = receipt.substring(end + 1).getBytes(StandardCharsets.UTF_8);
        return attempt.filter(
                a ->
                        MessageDigest.isEqual(
                                signature(call, a).getBytes(StandardCharsets.UTF_8), actual));
    }

    private static Optional<AttemptId> parseAttemptId(String value) {
        try {
            return Optional.of(AttemptId.of(value));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private String signature(CallKey call, AttemptId attempt) {
        String text = call.workspace() + "\n" + call.key() + "\n" + attempt;
        return mMac.hashString(text, StandardCharsets.UTF_8).toString();
    }
}
