package org.catkinproxy.member;

/** The kind of process that an instance runs. Immutable. */
public enum InstanceKind {
    /** An entry instance: a process of this proxy, to which callers connect. */
    ENTRY,
    /** An upstream that runs a model engine. */
    ENGINE,
    /** An upstream that runs a service without a model. */
    SERVICE
}
