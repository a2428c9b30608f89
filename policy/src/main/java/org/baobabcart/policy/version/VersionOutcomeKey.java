package org.baobabcart.policy.version;

/**
 * What outcomes are counted by. Immutable.
 *
 * @param service the service
 * @param work the version that ran the request, and the kind of work
 */
public record VersionOutcomeKey(String service, VersionWork work) {
    /** The key of a kind of work on a version of a service. */
    public VersionOutcomeKey(String service, String version, String work) {
        this(service, new VersionWork(version, work));
    }

    /** The version that ran the request. */
    public String version() {
        return work.version();
    }
}
