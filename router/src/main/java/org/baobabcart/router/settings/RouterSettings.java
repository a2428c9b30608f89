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
 * The settings of one router. Immutable; made by {@link SettingsParser}, which checks every value.
 *
 * @param name the router's name
 * @param dataCentre the data centre it stands in
 * @param listenAddress the address that all ports bind
 * @param callerPort the port of the caller API, 0 for any
 * @param adminPort the port of the operators' API, 0 for any
 * @param peerPort the port that other routers call, 0 for any
 * @param advertisedPeer the peer port as other routers reach it, empty for the one that is bound
 * @param outgoingAddress the address that connections to routers, upstreams and the platform come from, empty for any
 * @param platform the platform's object API
 * @param virtualMachines the platform's list of VMs
 * @param ratings the service that rates answers, if there is one
 * @param peers peer ports to join besides those in the list of VMs
 * @param balancerDelay how long requests are still accepted after a planned stop has begun
 * @param drainTimeout how long running requests may take to finish at a planned stop
 * @param security the files of transport security
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

    /** Settings from texts that have been checked; every setting has an entry. */
    static RouterSettings ofChecked(Map<Setting, String> values) {
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
                ValueFormat.split(values.get(Setting.PEERS)),
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
            throw BaobabcartException.of(ResultCode.BAD_SETTING, "go together: give all three or none")
                    .withLocation(Setting.TLS_CERTIFICATE.flag() + ", " + Setting.TLS_KEY.flag() + " and "
                            + Setting.FLEET_AUTHORITIES.flag());
        }
        return files;
    }

    private static Optional<String> optional(Map<Setting, String> values, Setting setting) {
        return Optional.of(values.get(setting)).filter(text -> !text.isEmpty());
    }
}
