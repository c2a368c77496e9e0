package org.catkinproxy.settings;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Arrays;

/**
 * The keys that sign resume tokens and receipts of calls; all daemons share them.
 *
 * <p>The keys are copied on the way in and out and never printed. Immutable, and so safe for use by
 * any thread.
 */
public final class Secrets {
    /** The shortest key that is accepted, in bytes. */
    public static final int MIN_KEY_BYTES = 16;

    private final byte[] mResumeTokenKey;
    private final byte[] mCallReceiptKey;

    private Secrets(byte[] resumeTokenKey, byte[] callReceiptKey) {
        mResumeTokenKey = checkKey("resumeTokenKey", resumeTokenKey);
        mCallReceiptKey = checkKey("callReceiptKey", callReceiptKey);
    }

    /** Returns the two keys, each of at least {@link #MIN_KEY_BYTES} bytes. */
    public static Secrets of(byte[] resumeTokenKey, byte[] callReceiptKey) {
        return new Secrets(resumeTokenKey, callReceiptKey);
    }

    /** Returns a copy of the key that signs resume tokens. */
    public byte[] resumeTokenKey() {
        return mResumeTokenKey.clone();
    }

    /** Returns a copy of the key that signs receipts of calls. */
    public byte[] callReceiptKey() {
        return mCallReceiptKey.clone();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Secrets that
                && Arrays.equals(mResumeTokenKey, that.mResumeTokenKey)
                && Arrays.equals(mCallReceiptKey, that.mCallReceiptKey);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(mResumeTokenKey) + Arrays.hashCode(mCallReceiptKey);
    }

    @Override
    public String toString() {
        return "Secrets{}";
    }

    private static byte[] checkKey(String name, byte[] key) {
        checkArgument(key.length >= MIN_KEY_BYTES, "%s has %s bytes, too few", name, key.length);
        return key.clone();
    }
}
