package org.catkinproxy.member;

/** What runs on an instance. Immutable. */
public enum InstanceKind {
    /** A daemon of the system, to which callers connect. */
    ENTRY,
    /** A model engine. */
    ENGINE,
    /** A plain service. */
    SERVICE
}
