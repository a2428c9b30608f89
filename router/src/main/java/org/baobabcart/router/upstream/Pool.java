package org.baobabcart.router.upstream;

import org.baobabcart.model.platform.VirtualMachine;

/**
 * Upstreams that can stand in for each other. Immutable.
 *
 * @param model the model, empty for a service
 * @param version the only version that belongs to the pool, empty for any
 * @param service the service, empty for a model
 * @param excludedVersion a version that does not belong to the pool, empty for none
 */
public record Pool(String model, String version, String service, String excludedVersion) {
    /** The engines of a version of a model. */
    public static Pool ofModel(String model, String version) {
        return new Pool(model, version, "", "");
    }

    /** The upstreams of a service. */
    public static Pool ofService(String service) {
        return new Pool("", "", service, "");
    }

    /** The same upstreams as far as they are of a version. */
    public Pool withVersion(String onlyVersion) {
        return new Pool(model, onlyVersion, service, "");
    }

    /** The same upstreams as far as they are not of a version. */
    public Pool withoutVersion(String newExcludedVersion) {
        return new Pool(model, "", service, newExcludedVersion);
    }

    /** Whether the upstream belongs to the pool and may get new work. */
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
