package org.baobabcart.policy.version;

/**
 * What outcomes are counted by. Immutable.
 *
 * @param service the service
 * @param versionClass the version that ran the request, and the kind of work
 */
public record VersionOutcomeKey(String service, VersionRequestClass versionClass) {
    /** The key of a kind of work on a version of a service. */
    public VersionOutcomeKey(String service, String version, String requestClass) {
        this(service, new VersionRequestClass(version, requestClass));
    }

    /** The version that ran the request. */
    public String version() {
        return versionClass.version();
    }
}
