package org.baobabcart.router.upstream;

import org.baobabcart.model.platform.VirtualMachine;

/**
 * A set of interchangeable upstreams. Immutable. Its string form is written to the time line.
 *
 * @param model the model; empty for a service
 * @param version the only version in the pool; empty for any version
 * @param service the service; empty for a model
 * @param excludedVersion a version that is not in the pool; empty for none
 */
public record Pool(String model, String version, String service, String excludedVersion) {
    /** Returns the pool of engines that run a version of a model. */
    public static Pool ofModel(String model, String version) {
        return new Pool(model, version, "", "");
    }

    /** Returns the pool of upstreams of a service. */
    public static Pool ofService(String service) {
        return new Pool("", "", service, "");
    }

    /** Returns this pool restricted to one version. */
    public Pool withVersion(String onlyVersion) {
        return new Pool(model, onlyVersion, service, "");
    }

    /** Returns this pool without one version. */
    public Pool withoutVersion(String newExcludedVersion) {
        return new Pool(model, "", service, newExcludedVersion);
    }

    /** Returns whether the upstream belongs to the pool and is live. */
    public boolean includes(VirtualMachine upstream) {
        if (upstream.state() != VirtualMachine.State.LIVE) {
            return false;
        }
        if (service.isEmpty()) {
            return upstream.role() == VirtualMachine.Role.ENGINE
                    && upstream.model().equals(model)
                    && upstream.version().equals(version);
        }
        return upstream.role() == VirtualMachine.Role.SERVICE
                && upstream.service().equals(service)
                && (version.isEmpty() || upstream.version().equals(version))
                && (excludedVersion.isEmpty() || !upstream.version().equals(excludedVersion));
    }
}
