package org.catkinproxy.id;

/**
 * The id of a workspace, which is isolated from all other workspaces.
 *
 * <p>Immutable and thread-safe.
 *
 * @param value text without control characters that neither begins nor ends with a blank
 */
public record WorkspaceId(String value) implements Comparable<WorkspaceId> {
    /** Validates the value. */
    public WorkspaceId {
        NameSyntax.check("workspace", value);
    }

    /**
     * Returns the id {@code value}, which this project has chosen.
     *
     * @throws IllegalArgumentException if {@code value} is not 1 to 128 letters, digits and {@code
     *     . _ : -}, the first a letter or digit
     */
    public static WorkspaceId of(String value) {
        return new WorkspaceId(IdSyntax.check("workspace", value));
    }

    /**
     * Returns the id of a workspace that operators of a platform have named.
     *
     * @throws IllegalArgumentException if {@code name} is not of the form of {@link #value}
     */
    public static WorkspaceId named(String name) {
        return new WorkspaceId(name);
    }

    @Override
    public int compareTo(WorkspaceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
