package org.baobabcart.launcher;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.baobabcart.model.platform.VirtualMachine;

/**
 * A router or upstream that has not been started yet. Immutable except for the map.
 *
 * @param process the settings of the process
 * @param nodes the map to which the started node is added
 * @param addressPort the name of the port that other nodes connect to
 * @param addressPrefix the prefix of the address before host and port
 * @param machine the entry in the list of VMs; the address is empty unless other nodes connect through the network
 */
record PlannedNode(
        ProcessSettings process,
        Map<String, FleetNode> nodes,
        String addressPort,
        String addressPrefix,
        VirtualMachine machine) {
    /** Returns a copy to which other nodes connect through the given host and port. */
    PlannedNode withReachableAddress(String hostAndPort) {
        VirtualMachine reachable = machine.withAddress(addressPrefix + hostAndPort);
        return new PlannedNode(process, nodes, addressPort, addressPrefix, reachable);
    }

    /** Returns a copy with additional process arguments. */
    PlannedNode withMoreArguments(List<String> more) {
        List<String> arguments = new ArrayList<>(process.arguments());
        arguments.addAll(more);
        return new PlannedNode(process.withArguments(arguments), nodes, addressPort, addressPrefix, machine);
    }

    /** Returns the node that runs in a started process. */
    FleetNode toNode(ManagedProcess started) {
        if (!machine.address().isEmpty()) {
            return new FleetNode(machine, started);
        }
        String address = addressPrefix + "127.0.0.1:" + started.port(addressPort);
        return new FleetNode(machine.withAddress(address), started);
    }
}
