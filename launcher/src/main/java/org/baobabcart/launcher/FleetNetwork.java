package org.baobabcart.launcher;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * Controls the simulated network between the data centres of a local fleet. Traffic can be blocked in one direction or
 * both. Not thread-safe.
 *
 * <p>The routers of each data centre connect from a distinct loopback address, which identifies the data centre that a
 * connection comes from.
 */
public final class FleetNetwork {
    /** Location of the platform and of the list of VMs; it can be cut off like a data centre. */
    public static final String PLATFORM = "platform";

    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private final ManagedProcess process;
    private final JsonCalls calls;
    private final List<String> dataCentres;
    private final ArrayNode cuts = NODES.arrayNode();

    private FleetNetwork(ManagedProcess process, JsonCalls calls, List<String> dataCentres) {
        this.process = process;
        this.calls = calls;
        this.dataCentres = List.copyOf(dataCentres);
    }

    /** Creates a network without cuts and registers the data centres. */
    static FleetNetwork of(ManagedProcess process, JsonCalls calls, List<String> dataCentres) {
        FleetNetwork network = new FleetNetwork(process, calls, dataCentres);
        dataCentres.forEach(network::register);
        return network;
    }

    /** Returns the source address of the routers in a data centre. */
    String outgoingAddress(String dataCentre) {
        return "127.0." + (dataCentres.indexOf(dataCentre) + 1) + ".1";
    }

    /** Opens a port that forwards to a node, which may not be listening yet, and returns the port's address. */
    String open(String name, String dataCentre) {
        ObjectNode node = NODES.objectNode().put("name", name).put("dataCentre", dataCentre);
        int port = calls.post(url("/nodes"), node).body().path("port").asInt();
        return "127.0.0.1:" + port;
    }

    /** Sets the port that a node's network port forwards to. */
    void setTarget(String name, int port) {
        calls.put(url("/nodes/" + name + "/target"), NODES.objectNode().put("port", port));
    }

    /** Holds traffic from one location to another, in addition to existing cuts. */
    public void cutOneWay(String from, String to) {
        cuts.addObject().put("from", from).put("to", to);
        sendFaults(false);
    }

    /** Holds traffic between two locations in both directions, in addition to existing cuts. */
    public void cut(String first, String second) {
        cuts.addObject().put("from", first).put("to", second);
        cutOneWay(second, first);
    }

    /** Resets all connections affected by the cuts, both existing and new ones, until the cuts end. */
    public void reset() {
        sendFaults(true);
    }

    /** Removes all cuts; held traffic is then delivered. */
    public void heal() {
        cuts.removeAll();
        sendFaults(false);
    }

    private void register(String dataCentre) {
        String path = "/data-centres/" + outgoingAddress(dataCentre);
        calls.put(url(path), NODES.objectNode().put("dataCentre", dataCentre));
    }

    private void sendFaults(boolean reset) {
        ObjectNode faults = NODES.objectNode().put("reset", reset);
        faults.set("cuts", cuts);
        calls.post(url("/standin/faults"), faults);
    }

    private String url(String path) {
        return process.url("http") + path;
    }
}
