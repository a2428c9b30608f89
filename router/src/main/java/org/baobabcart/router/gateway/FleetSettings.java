package org.baobabcart.router.gateway;

import java.time.Duration;
import java.util.Optional;

/**
 * What the deployment asks of its routers together. Immutable. Everything is off by default.
 *
 * @param evacuations whether the operator may take data centres out of use
 * @param warmUp what cold upstreams bear; empty if no upstream of the deployment is ever cold
 * @param peerHost the address at which other routers reach this one; empty if routers do not talk to each other
 * @param firstPeerPort the first of the ports that are free for calls between routers; zero for none
 * @param lastPeerPort the last of these ports
 * @param changeBound the time within which changes of the configuration and of upstreams have to take effect
 * @param registrationInterval the time between two registrations of an upstream, which lapse after three of these times
 */
public record FleetSettings(
        boolean evacuations,
        Optional<WarmUpTolerance> warmUp,
        String peerHost,
        int firstPeerPort,
        int lastPeerPort,
        Duration changeBound,
        Duration registrationInterval) {
    private static final Duration DEFAULT_CHANGE_BOUND = Duration.ofSeconds(2);
    private static final Duration DEFAULT_REGISTRATION_INTERVAL = Duration.ofSeconds(1);

    /** Creates settings with the default bound on changes. */
    public FleetSettings(
            boolean evacuations,
            Optional<WarmUpTolerance> warmUp,
            String peerHost,
            int firstPeerPort,
            int lastPeerPort) {
        this(
                evacuations,
                warmUp,
                peerHost,
                firstPeerPort,
                lastPeerPort,
                DEFAULT_CHANGE_BOUND,
                DEFAULT_REGISTRATION_INTERVAL);
    }

    /** Returns settings of a router that stands alone. */
    public static FleetSettings none() {
        return new FleetSettings(false, Optional.empty(), "", 0, 0);
    }

    /** Returns these settings with another bound on changes. */
    public FleetSettings withChangeBound(Duration newBound) {
        return new FleetSettings(
                evacuations, warmUp, peerHost, firstPeerPort, lastPeerPort, newBound, registrationInterval);
    }

    /** Returns these settings with another time between two registrations. */
    public FleetSettings withRegistrationInterval(Duration newInterval) {
        return new FleetSettings(evacuations, warmUp, peerHost, firstPeerPort, lastPeerPort, changeBound, newInterval);
    }

    /** Returns the shortest outage of the platform that lets a registration lapse, which was written up to one interval before. */
    public Duration shortestLapsingOutage() {
        return registrationInterval.multipliedBy(2);
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
