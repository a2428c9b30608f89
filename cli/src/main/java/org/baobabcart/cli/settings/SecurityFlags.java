package org.baobabcart.cli.settings;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.baobabcart.router.transport.TlsFiles;
import org.baobabcart.router.transport.Transport;

/** The flags by which every command that calls the fleet secures its connections. */
public final class SecurityFlags {
    private static final Flag CERTIFICATE =
            Flag.of("--tls-certificate", "PEM file of the operator's certificate, for a fleet that speaks TLS");
    private static final Flag KEY = Flag.of("--tls-key", "PEM file of the certificate's private key");
    private static final Flag FLEET_AUTHORITIES =
            Flag.of("--fleet-authorities", "PEM file of the authorities of routers and operators");
    private static final Flag UPSTREAM_AUTHORITIES =
            Flag.of("--upstream-authorities", "PEM file of the authorities of the platform");

    private SecurityFlags() {}

    /** The flags. */
    public static List<Flag> all() {
        return List.of(CERTIFICATE, KEY, FLEET_AUTHORITIES, UPSTREAM_AUTHORITIES);
    }

    /** The transport that the arguments ask for. */
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
            throw Arguments.bad(flag, text, "the path of a file that can be read");
        });
        return path;
    }
}
