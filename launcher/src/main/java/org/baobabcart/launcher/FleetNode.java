package org.baobabcart.launcher;

import org.baobabcart.model.platform.VirtualMachine;

/**
 * A router or upstream of a local fleet. Immutable but for the process.
 *
 * @param machine its entry in the list of VMs
 * @param process the process
 */
public record FleetNode(VirtualMachine machine, ManagedProcess process) {
    /** The node's name. */
    public String name() {
        return machine.name();
    }

    /** The data centre it stands in. */
    public String dataCentre() {
        return machine.dataCentre();
    }

    /** The URL of a router's caller port. */
    public String caller() {
        return process.url("caller");
    }

    /** The URL of a router's admin port. */
    public String admin() {
        return process.url("admin");
    }

    /** The URL of an upstream's own port, past any proxy. */
    public String http() {
        return process.url("http");
    }
}
