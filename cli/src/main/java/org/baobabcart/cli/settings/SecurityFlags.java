package org.baobabcart.cli.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.baobabcart.router.transport.TlsFiles;
import org.baobabcart.router.transport.Transport;

/** TLS flags of the commands that connect to the fleet. */
public final class SecurityFlags {
    private static final Flag CERTIFICATE =
            Flag.of("--tls-certificate", "PEM file of the operator's certificate, for a fleet that uses TLS");
    private static final Flag KEY = Flag.of("--tls-key", "PEM file of the certificate's private key");
    private static final Flag FLEET_AUTHORITIES =
            Flag.of("--fleet-authorities", "PEM file of the certificate authorities of routers and operators");
    private static final Flag UPSTREAM_AUTHORITIES =
            Flag.of("--upstream-authorities", "PEM file of the certificate authorities of the platform");

    private SecurityFlags() {}

    /** Returns all TLS flags. */
    public static List<Flag> all() {
        return List.of(CERTIFICATE, KEY, FLEET_AUTHORITIES, UPSTREAM_AUTHORITIES);
    }

    /** Returns the transport specified by the arguments. */
    public static Transport read(Arguments arguments) {
        return Transport.of(new TlsFiles(
                file(arguments, CERTIFICATE),
                file(arguments, KEY),
                file(arguments, FLEET_AUTHORITIES),
                file(arguments, UPSTREAM_AUTHORITIES)));
    }

    private static Optional<String> file(Arguments arguments, Flag flag) {
        Optional<String> path = arguments.optional(flag);
        path.filter(text -> !Files.isReadable(Path.of(text))).ifPresent(text -> {
            throw Arguments.invalidValue(flag, text, "the path of a readable file");
        });
        return path;
    }
}
