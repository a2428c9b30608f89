package org.baobabcart.launcher;

import java.util.Map;
import org.baobabcart.model.platform.VirtualMachine;

/**
 * A router or upstream that is about to start. Immutable but for the map.
 *
 * @param process how it is started
 * @param nodes the nodes that it joins
 * @param addressPort the named port that others reach it by
 * @param addressPrefix what stands before host and port in its address
 * @param machine its entry in the list of VMs, without the address
 */
record PlannedNode(
        ProcessSettings process,
        Map<String, FleetNode> nodes,
        String addressPort,
        String addressPrefix,
        VirtualMachine machine) {
    /** The node, once its process is ready. */
    FleetNode nodeOn(ManagedProcess started) {
        String address = addressPrefix + "127.0.0.1:" + started.port(addressPort);
        return new FleetNode(machine.withAddress(address), started);
    }
}
