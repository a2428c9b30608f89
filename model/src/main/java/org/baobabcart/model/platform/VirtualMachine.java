package org.baobabcart.model.platform;

/**
 * An entry of the platform's list of VMs. Immutable.
 *
 * @param name the VM's name
 * @param role what runs there
 * @param dataCentre the data centre it stands in
 * @param state whether it is live or leaving
 * @param address {@code http://host:port} for upstreams, {@code host:port} of the peer port for routers
 * @param model the model of an engine, otherwise empty
 * @param version the version of an engine, otherwise empty
 * @param service the service's name, otherwise empty
 * @param checksFencing whether an engine is known to refuse orders with an old fencing number
 * @param slots the requests that it runs at once; zero where it does not say
 * @param incarnation tells two starts under one name apart; zero where it does not say
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
    /** An entry that does not say whether fencing numbers are checked. */
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

    /** The same VM at another address. */
    public VirtualMachine withAddress(String newAddress) {
        return new VirtualMachine(
                name, role, dataCentre, state, newAddress, model, version, service, checksFencing, slots, incarnation);
    }

    /** The same VM, known to refuse orders with an old fencing number, or not. */
    public VirtualMachine withChecksFencing(boolean nowChecks) {
        return new VirtualMachine(
                name, role, dataCentre, state, address, model, version, service, nowChecks, slots, incarnation);
    }

    /** The same VM with the requests that it runs at once and the mark of its start. */
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

    /** What runs on a VM. */
    public enum Role {
        ROUTER,
        ENGINE,
        SERVICE
    }

    /** The platform's view of a VM, which lags. */
    public enum State {
        LIVE,
        LEAVING
    }
}
