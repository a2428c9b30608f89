package org.baobabcart.launcher;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * The network between the data centres of a local fleet, which can be cut in one direction or both. Not thread-safe.
 *
 * <p>Each data centre's routers connect from a loopback address of their own, by which the network tells where a
 * connection comes from.
 */
public final class FleetNetwork {
    /** The place of the platform and of the list of VMs, which can be cut off as a data centre can. */
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

    /** The network of these data centres, whole. */
    static FleetNetwork of(ManagedProcess process, JsonCalls calls, List<String> dataCentres) {
        FleetNetwork network = new FleetNetwork(process, calls, dataCentres);
        dataCentres.forEach(network::declare);
        return network;
    }

    /** The address that a data centre's routers connect from. */
    String outgoingAddress(String dataCentre) {
        return "127.0." + (dataCentres.indexOf(dataCentre) + 1) + ".1";
    }

    /** Opens a port before a node that may not listen yet; the result is the port's address. */
    String open(String name, String dataCentre) {
        ObjectNode node = NODES.objectNode().put("name", name).put("dataCentre", dataCentre);
        int port = calls.post(url("/nodes"), node).body().path("port").asInt();
        return "127.0.0.1:" + port;
    }

    /** Names the port behind a node's port. */
    void target(String name, int port) {
        calls.put(url("/nodes/" + name + "/target"), NODES.objectNode().put("port", port));
    }

    /** Holds back what travels from one place to another, besides what is cut already. */
    public void cutOneWay(String from, String to) {
        cuts.addObject().put("from", from).put("to", to);
        apply(false);
    }

    /** Holds back what travels between two places, besides what is cut already. */
    public void cut(String one, String other) {
        cuts.addObject().put("from", one).put("to", other);
        cutOneWay(other, one);
    }

    /** Resets all connections over what is cut, now and while the cut lasts. */
    public void reset() {
        apply(true);
    }

    /** Ends all cuts; what was held back arrives. */
    public void heal() {
        cuts.removeAll();
        apply(false);
    }

    private void declare(String dataCentre) {
        String path = "/data-centres/" + outgoingAddress(dataCentre);
        calls.put(url(path), NODES.objectNode().put("dataCentre", dataCentre));
    }

    private void apply(boolean reset) {
        ObjectNode faults = NODES.objectNode().put("reset", reset);
        faults.set("cuts", cuts);
        calls.post(url("/standin/faults"), faults);
    }

    private String url(String path) {
        return process.url("http") + path;
    }
}
