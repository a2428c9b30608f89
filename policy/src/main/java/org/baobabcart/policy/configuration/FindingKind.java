package org.baobabcart.policy.configuration;

/** What is wrong with an entry of a configuration. */
public enum FindingKind {
    /** Requests cannot be served with this value. */
    UNUSABLE(Severity.ERROR),
    /** No request can match the entry. */
    NEVER_MATCHES(Severity.WARNING),
    /** The entry contradicts another value or is replaced by another entry. */
    CONTRADICTION(Severity.WARNING),
    /** Routers read the value as another one, the nearest that they can hold. */
    ADJUSTED(Severity.WARNING);

    private final Severity severity;

    FindingKind(Severity severity) {
        this.severity = severity;
    }

    /** Returns the severity of findings of this kind. */
    public Severity severity() {
        return severity;
    }

    /** The severity of a finding. */
    public enum Severity {
        /** The configuration should not be sent. */
        ERROR,
        /** The configuration can be served but probably differs from what is intended. */
        WARNING
    }
}
