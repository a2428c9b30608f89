package org.baobabcart.router.transport;

import java.util.List;
import java.util.Optional;

/**
 * The PEM files of transport security. Immutable.
 *
 * <p>Certificate, key and fleet authorities go together: with all three the own ports speak TLS, with none they are plain.
 *
 * @param certificate the own certificate with its chain
 * @param key the private key of the certificate
 * @param fleetAuthorities the authorities whose certificates make a client a router or an operator
 * @param upstreamAuthorities the authorities of the platform, the list of VMs, upstreams and the rating service; without
 *     it those of the Java platform count
 */
public record SecurityFiles(
        Optional<String> certificate,
        Optional<String> key,
        Optional<String> fleetAuthorities,
        Optional<String> upstreamAuthorities) {
    /** No files: all ports are plain. */
    public static SecurityFiles none() {
        return new SecurityFiles(Optional.empty(), Optional.empty(), Optional.empty(), Optional.empty());
    }

    /** Whether some but not all of the three files that go together are given. */
    public boolean isPartial() {
        long given = own().stream().filter(Optional::isPresent).count();
        return given > 0 && given < own().size();
    }

    /** Whether the own ports speak TLS. */
    public boolean isSecure() {
        return own().stream().allMatch(Optional::isPresent);
    }

    private List<Optional<String>> own() {
        return List.of(certificate, key, fleetAuthorities);
    }
}
