package org.baobabcart.model.platform;

/**
 * An entry of the platform's list of VMs. Immutable.
 *
 * @param name the VM's name
 * @param role the role of the VM
 * @param dataCentre the name of its data centre
 * @param state the platform's state of the VM
 * @param address {@code http://host:port} for upstreams, {@code host:port} of the peer port for routers
 * @param model the model of an engine; otherwise empty
 * @param version the version of an engine; otherwise empty
 * @param service the name of a service; otherwise empty
 * @param checksFencing whether an engine is known to reject orders with an outdated fencing number
 * @param slots the number of requests that it executes concurrently; zero if unknown
 * @param incarnation distinguishes starts under the same name; zero if unknown
 */
public record VirtualMachine(
        String name,
        Role role,
        String dataCentre,
        State state,
        String address,
        String model,
        String version,
        String service,
        boolean checksFencing,
        int slots,
        long incarnation) {
    /** Creates an entry without fencing checks, slots and incarnation. */
    public VirtualMachine(
            String name,
            Role role,
            String dataCentre,
            State state,
            String address,
            String model,
            String version,
            String service) {
        this(name, role, dataCentre, state, address, model, version, service, false, 0, 0);
    }

    /** Returns a copy with another address. */
    public VirtualMachine withAddress(String newAddress) {
        return new VirtualMachine(
                name, role, dataCentre, state, newAddress, model, version, service, checksFencing, slots, incarnation);
    }

    /** Returns a copy with another value of {@code checksFencing}. */
    public VirtualMachine withChecksFencing(boolean newChecksFencing) {
        return new VirtualMachine(
                name, role, dataCentre, state, address, model, version, service, newChecksFencing, slots, incarnation);
    }

    /** Returns a copy with another state. */
    public VirtualMachine withState(State newState) {
        return new VirtualMachine(
                name, role, dataCentre, newState, address, model, version, service, checksFencing, slots, incarnation);
    }

    /** Returns a copy with other slots and another incarnation. */
    public VirtualMachine withCapacity(int newSlots, long newIncarnation) {
        return new VirtualMachine(
                name,
                role,
                dataCentre,
                state,
                address,
                model,
                version,
                service,
                checksFencing,
                newSlots,
                newIncarnation);
    }

    /** The role of a VM. */
    public enum Role {
        ROUTER,
        ENGINE,
        SERVICE
    }

    /** The state of a VM as the platform reports it, with a delay. */
    public enum State {
        LIVE,
        LEAVING
    }
}
