package org.baobabcart.router.settings;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.transport.TlsFiles;

/**
 * The settings of a router. Immutable; created by {@link SettingsParser}, which validates every value.
 *
 * @param name the name of the router
 * @param dataCentre the data centre that the router runs in
 * @param listenAddress the address that all ports are bound to
 * @param callerPort the port of the caller API, 0 for any free port
 * @param adminPort the port of the operators' API, 0 for any free port
 * @param peerPort the port that other routers call, 0 for any free port
 * @param advertisedPeer the address under which other routers reach the peer port, empty for the bound one
 * @param outgoingAddress the source address of connections to routers, upstreams and the platform, empty for any
 * @param platform the URL of the platform's object API
 * @param virtualMachines the URL of the platform's list of VMs
 * @param ratings the URL of the service that rates answers; empty for none
 * @param peers the addresses of peers to join besides those in the list of VMs
 * @param balancerDelay how long requests are still accepted after a planned stop has begun
 * @param drainTimeout how long running requests may take to finish at a planned stop
 * @param security the PEM files for TLS
 */
public record RouterSettings(
        String name,
        String dataCentre,
        String listenAddress,
        int callerPort,
        int adminPort,
        int peerPort,
        String advertisedPeer,
        String outgoingAddress,
        URI platform,
        URI virtualMachines,
        Optional<URI> ratings,
        List<String> peers,
        Duration balancerDelay,
        Duration drainTimeout,
        TlsFiles security) {
    /** Copies the list. */
    public RouterSettings {
        peers = List.copyOf(peers);
    }

    /** Creates settings from validated texts; every setting must have an entry. */
    static RouterSettings ofValidated(Map<Setting, String> values) {
        return new RouterSettings(
                values.get(Setting.NAME),
                values.get(Setting.DATA_CENTRE),
                values.get(Setting.LISTEN_ADDRESS),
                Integer.parseInt(values.get(Setting.CALLER_PORT)),
                Integer.parseInt(values.get(Setting.ADMIN_PORT)),
                Integer.parseInt(values.get(Setting.PEER_PORT)),
                values.get(Setting.ADVERTISED_PEER),
                values.get(Setting.OUTGOING_ADDRESS),
                URI.create(values.get(Setting.PLATFORM)),
                URI.create(values.get(Setting.VIRTUAL_MACHINES)),
                optional(values, Setting.RATINGS).map(URI::create),
                ValueFormat.splitList(values.get(Setting.PEERS)),
                Duration.ofMillis(Long.parseLong(values.get(Setting.BALANCER_DELAY_MILLIS))),
                Duration.ofMillis(Long.parseLong(values.get(Setting.DRAIN_TIMEOUT_MILLIS))),
                security(values));
    }

    private static TlsFiles security(Map<Setting, String> values) {
        TlsFiles files = new TlsFiles(
                optional(values, Setting.TLS_CERTIFICATE),
                optional(values, Setting.TLS_KEY),
                optional(values, Setting.FLEET_AUTHORITIES),
                optional(values, Setting.UPSTREAM_AUTHORITIES));
        if (files.isPartial()) {
            throw BaobabcartException.of(ResultCode.BAD_SETTING, "must be set together: set all three or none")
                    .withLocation(Setting.TLS_CERTIFICATE.flag() + ", " + Setting.TLS_KEY.flag() + " and "
                            + Setting.FLEET_AUTHORITIES.flag());
        }
        return files;
    }

    private static Optional<String> optional(Map<Setting, String> values, Setting setting) {
        return Optional.of(values.get(setting)).filter(text -> !text.isEmpty());
    }
}
