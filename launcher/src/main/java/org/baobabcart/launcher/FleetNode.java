package org.baobabcart.launcher;

import org.baobabcart.model.platform.VirtualMachine;

/**
 * A router or upstream of a local fleet. Immutable except for the process.
 *
 * @param machine the node's entry in the list of VMs
 * @param process the operating system process that runs the node
 */
public record FleetNode(VirtualMachine machine, ManagedProcess process) {
    /** Returns the node's name. */
    public String name() {
        return machine.name();
    }

    /** Returns the node's data centre. */
    public String dataCentre() {
        return machine.dataCentre();
    }

    /** Returns the URL of a router's caller port. */
    public String caller() {
        return process.url("caller");
    }

    /** Returns the URL of a router's admin port. */
    public String admin() {
        return process.url("admin");
    }

    /** Returns the URL of an upstream's own port, bypassing any proxy. */
    public String http() {
        return process.url("http");
    }
}
