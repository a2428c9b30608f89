package org.baobabcart.router.gateway;

import java.util.Optional;

/**
 * What the deployment asks of its routers together. Immutable. Everything is off by default.
 *
 * @param evacuations whether the operator may take data centres out of use
 * @param warmUp what cold upstreams bear; empty if no upstream of the deployment is ever cold
 * @param peerHost the address at which other routers reach this one; empty if routers do not talk to each other
 * @param firstPeerPort the first of the ports that are free for calls between routers; zero for none
 * @param lastPeerPort the last of these ports
 */
public record FleetSettings(
        boolean evacuations, Optional<WarmUpTolerance> warmUp, String peerHost, int firstPeerPort, int lastPeerPort) {
    /** Returns settings of a router that stands alone. */
    public static FleetSettings none() {
        return new FleetSettings(false, Optional.empty(), "", 0, 0);
    }

    /** Returns whether routers may call each other. */
    public boolean hasPeerPorts() {
        return !peerHost.isEmpty() && firstPeerPort > 0;
    }

    /** Returns {@code host:port} at which other routers reach this one; empty if they do not. */
    public String peerAddress() {
        return hasPeerPorts() ? peerHost + ":" + firstPeerPort : "";
    }
}
