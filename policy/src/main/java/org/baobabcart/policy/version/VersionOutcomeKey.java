package org.baobabcart.policy.version;

/**
 * The key under which outcomes are counted. Immutable.
 *
 * @param service the service
 * @param versionClass the version that ran the request, and the request class
 */
public record VersionOutcomeKey(String service, VersionRequestClass versionClass) {
    /** Creates the key of a service, a version and a request class. */
    public VersionOutcomeKey(String service, String version, String requestClass) {
        this(service, new VersionRequestClass(version, requestClass));
    }

    /** Returns the version that ran the request. */
    public String version() {
        return versionClass.version();
    }
}
