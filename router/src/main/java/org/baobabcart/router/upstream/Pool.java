package org.baobabcart.router.upstream;

import org.baobabcart.model.platform.VirtualMachine;

/**
 * Upstreams that can stand in for each other. Immutable.
 *
 * @param model the model, empty for a plain service
 * @param version the model's version, empty for a plain service
 * @param service the plain service, empty for a model
 */
public record Pool(String model, String version, String service) {
    /** The engines of a version of a model. */
    public static Pool ofModel(String model, String version) {
        return new Pool(model, version, "");
    }

    /** The upstreams of a plain service. */
    public static Pool ofService(String service) {
        return new Pool("", "", service);
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
                && upstream.service().equals(service);
    }
}
