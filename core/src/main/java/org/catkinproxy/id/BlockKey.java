package org.catkinproxy.id;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HexFormat;

/**
 * The key of one cached prompt block: a chained hash of the prompt up to the end of the block.
 *
 * <p>The hash is seeded with the workspace and the weights, so that keys of different workspaces or
 * weights never match. With 128 bits, the probability of a collision is negligible at 540 million
 * blocks.
 *
 * <p>Immutable and thread-safe.
 *
 * @param high the first 64 bits of the hash
 * @param low the last 64 bits of the hash
 */
public record BlockKey(long high, long low) {
    private static final int HEX_DIGITS = 32;
    private static final int HALF_DIGITS = 16;

    /**
     * Returns the key that {@code hex} represents.
     *
     * @throws IllegalArgumentException if {@code hex} is not 32 hexadecimal digits
     */
    public static BlockKey ofHex(String hex) {
        checkArgument(hex.length() == HEX_DIGITS, "block key does not have 32 digits: '%s'", hex);
        return new BlockKey(
                HexFormat.fromHexDigitsToLong(hex, 0, HALF_DIGITS),
                HexFormat.fromHexDigitsToLong(hex, HALF_DIGITS, HEX_DIGITS));
    }

    /** Returns this key as 32 lower-case hexadecimal digits. */
    public String toHex() {
        return HexFormat.of().toHexDigits(high) + HexFormat.of().toHexDigits(low);
    }

    @Override
    public String toString() {
        return toHex();
    }
}
