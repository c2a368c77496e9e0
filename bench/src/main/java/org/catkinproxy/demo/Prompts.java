package org.catkinproxy.demo;

/** Long prompts that share prefixes. Stateless, so safe for use by any thread. */
public final class Prompts {
    private static final int CLAUSE_LENGTH = 60;

    private Prompts() {}

    /**
     * Returns a text of {@code bytes} letters that depends on its name only.
     *
     * <p>Two texts of different names differ from the first line on.
     */
    public static String text(String name, int bytes) {
        StringBuilder text = new StringBuilder(bytes + CLAUSE_LENGTH);
        for (int clause = 1; text.length() < bytes; clause++) {
            text.append(name).append(" clause ").append(clause).append(": ");
            text.append(Integer.toHexString(31 * clause + name.hashCode())).append(".\n");
        }
        text.setLength(bytes);
        return text.toString();
    }
}
