package org.catkinproxy.id;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HexFormat;

/**
 * Names one cached block of a prompt: a chained hash over everything that decides its content.
 *
 * <p>The chain is seeded with workspace and weights, so a key of another workspace or of older
 * weights never matches. 128 bits make an accidental match negligible at 540 million blocks.
 *
 * <p>Immutable, and so safe for use by any thread.
 *
 * @param high the first 64 bits of the hash
 * @param low the last 64 bits of the hash
 */
public record BlockKey(long high, long low) {
    private static final int HEX_DIGITS = 32;
    private static final int HALF_DIGITS = 16;

    /**
     * Returns the key written as 32 hexadecimal digits.
     *
     * @throws IllegalArgumentException if {@code hex} is not 32 hexadecimal digits
     */
    public static BlockKey ofHex(String hex) {
        checkArgument(hex.length() == HEX_DIGITS, "a block key has 32 digits: '%s'", hex);
        return new BlockKey(
                HexFormat.fromHexDigitsToLong(hex, 0, HALF_DIGITS),
                HexFormat.fromHexDigitsToLong(hex, HALF_DIGITS, HEX_DIGITS));
    }

    /** Returns the key as 32 lower-case hexadecimal digits. */
    public String toHex() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }

    @Override
    public String toString() {
        return toHex();
    }
}
