package org.baobabcart.launcher;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.baobabcart.model.platform.VirtualMachine;

/**
 * A router or upstream that is about to start. Immutable but for the map.
 *
 * @param process how it is started
 * @param nodes the nodes that it joins
 * @param addressPort the named port that others reach it by
 * @param addressPrefix what stands before host and port in its address
 * @param machine its entry in the list of VMs, without the address unless others reach it by another one
 */
record PlannedNode(
        ProcessSettings process,
        Map<String, FleetNode> nodes,
        String addressPort,
        String addressPrefix,
        VirtualMachine machine) {
    /** The same node, which others reach by another host and port. */
    PlannedNode reachedBy(String hostAndPort) {
        VirtualMachine reachable = machine.withAddress(addressPrefix + hostAndPort);
        return new PlannedNode(process, nodes, addressPort, addressPrefix, reachable);
    }

    /** The same node, started with more arguments. */
    PlannedNode withMoreArguments(List<String> more) {
        List<String> arguments = new ArrayList<>(process.arguments());
        arguments.addAll(more);
        return new PlannedNode(process.withArguments(arguments), nodes, addressPort, addressPrefix, machine);
    }

    /** The node, once its process is ready. */
    FleetNode nodeOn(ManagedProcess started) {
        if (!machine.address().isEmpty()) {
            return new FleetNode(machine, started);
        }
        String address = addressPrefix + "127.0.0.1:" + started.port(addressPort);
        return new FleetNode(machine.withAddress(address), started);
    }
}
