package org.baobabcart.router.transport;

import java.util.List;
import java.util.Optional;

/**
 * The PEM files for TLS. Immutable.
 *
 * <p>Certificate, key and fleet authorities belong together: with all three the router's ports use TLS, with none they
 * use plain TCP.
 *
 * @param certificate the router's certificate chain
 * @param key the private key of the certificate
 * @param fleetAuthorities the certificate authorities that authenticate routers and operators as clients
 * @param upstreamAuthorities the certificate authorities of the platform, the list of VMs, upstreams and the rating
 *     service; if empty, those of the Java platform are used
 */
public record TlsFiles(
        Optional<String> certificate,
        Optional<String> key,
        Optional<String> fleetAuthorities,
        Optional<String> upstreamAuthorities) {
    /** Returns a configuration without files: all ports use plain TCP. */
    public static TlsFiles none() {
        return new TlsFiles(Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
    }

    /** Returns whether some but not all of certificate, key and fleet authorities are given. */
    public boolean isPartial() {
        long present = routerFiles().stream().filter(Optional::isPresent).count();
        return present > 0 && present < routerFiles().size();
    }

    /** Returns whether the router's ports use TLS. */
    public boolean isSecure() {
        return routerFiles().stream().allMatch(Optional::isPresent);
    }

    private List<Optional<String>> routerFiles() {
        return List.of(certificate, key, fleetAuthorities);
    }
}
