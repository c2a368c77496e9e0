package org.catkinproxy.standin;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;

import java.nio.charset.StandardCharsets;

/**
 * The tokens that every engine stand-in generates for one prompt under one set of weights.
 *
 * <p>Token n depends on the prompt, the weights and n only, so a stream that is continued on
 * another engine can be compared with the whole. Immutable, and so safe for use by any thread.
 */
public final class Tokens {
    /** The fewest tokens that a generation has if nothing limits it. */
    public static final int MIN_LENGTH = 32;

    private static final int LENGTH_SPREAD = 160;
    private static final long MIX = 0x9E3779B97F4A7C15L;
    private static final String[] SYLLABLES = {
        "ka", "lo", "mi", "ne", "ru", "sa", "ti", "vo", "be", "da", "fu", "gi", "ho", "je", "pa",
        "zu"
    };

    private final long mSeed;

    private Tokens(long seed) {
        mSeed = seed;
    }

    /** Returns the tokens for {@code prompt} under {@code weights}. */
    public static Tokens of(String prompt, WeightsName weights) {
        checkNotNull(prompt, "prompt");
        String text = weights + "\n" + prompt;
        return new Tokens(Hashing.sha256().hashString(text, StandardCharsets.UTF_8).asLong());
    }

    /** Returns the text of token {@code n}, counted from 1. */
    public String token(int n) {
        checkArgument(n >= 1, "tokens are counted from 1: %s", n);
        long bits = mix(mSeed + n * MIX);
        StringBuilder word = new StringBuilder();
        for (int i = 0; i < 3; i++) {
            word.append(SYLLABLES[(int) (bits >>> (4 * i)) & 0xF]);
        }
        return word.append(' ').toString();
    }

    /** Returns how many tokens the whole generation has if at most {@code maxTokens} are wanted. */
    public int length(int maxTokens) {
        return Math.min(maxTokens, naturalLength());
    }

    /** Returns how many tokens the generation has if nothing limits it. */
    public int naturalLength() {
        return MIN_LENGTH + (int) Math.floorMod(mix(mSeed), (long) LENGTH_SPREAD);
    }

    /** Returns the text of tokens {@code from} to {@code to}, both included. */
    public String text(int from, int to) {
        StringBuilder text = new StringBuilder();
        for (int n = from; n <= to; n++) {
            text.append(token(n));
        }
        return text.toString();
    }

    private static long mix(long value) {
        long z = value;
        z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
        z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
        return z ^ (z >>> 31);
    }
}
