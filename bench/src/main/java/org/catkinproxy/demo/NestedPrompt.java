package org.catkinproxy.demo;

/**
 * A prompt of three levels: the whole standard, one of its sections, and a part of its own.
 *
 * <p>Prompts of one workspace share the standard, and those of one section share that too.
 * Immutable, and so safe for use by any thread.
 *
 * @param workspace the workspace that asks
 * @param section the section
 * @param own what only this prompt has
 */
public record NestedPrompt(String workspace, int section, String own) {
    /** The size of the standard, in bytes. */
    public static final int STANDARD_BYTES = 24 * 1024;

    /** The size of a section, in bytes. */
    public static final int SECTION_BYTES = 8 * 1024;

    private static final int OWN_BYTES = 512;

    /** Returns the prompt. */
    public String text() {
        return Prompts.text(workspace + " standard", STANDARD_BYTES)
                + Prompts.text(workspace + " section " + section, SECTION_BYTES)
                + Prompts.text(own, OWN_BYTES);
    }
}
