package org.baobabcart.router.transport;

import io.vertx.core.http.ClientAuth;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.net.ClientOptionsBase;
import io.vertx.core.net.KeyCertOptions;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.PemKeyCertOptions;
import io.vertx.core.net.PemTrustOptions;
import io.vertx.core.net.TrustOptions;
import java.util.Optional;
import java.util.Set;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;

/**
 * Configures TLS and the local address of servers and clients. Immutable and thread-safe.
 *
 * <p>Callers see the router's certificate and need none themselves, because they authenticate by keys. Routers and
 * operators authenticate by certificates of the fleet authorities (mutual TLS). Host names are verified for the
 * platform and upstreams. They are not verified between routers, since these are reached by IP addresses and may be
 * replaced at any time; there the authority alone is checked.
 */
public final class Transport {
    private static final Set<String> PROTOCOLS = Set.of("TLSv1.2", "TLSv1.3");
    private static final String NO_HOST_NAME_VERIFICATION = "";
    private static final String ANY_ADDRESS = "";

    private final TlsFiles files;
    private final String outgoingAddress;

    private Transport(TlsFiles files, String outgoingAddress) {
        this.files = files;
        this.outgoingAddress = outgoingAddress;
    }

    /**
     * Creates a configuration from these files.
     *
     * @throws BaobabcartException with {@link ResultCode#BAD_SETTING} if some but not all of certificate, key and
     *     fleet authorities are given
     */
    public static Transport of(TlsFiles files) {
        if (files.isPartial()) {
            throw BaobabcartException.of(
                    ResultCode.BAD_SETTING, "certificate, key and fleet authorities must be given together");
        }
        return new Transport(files, ANY_ADDRESS);
    }

    /** Creates a configuration without TLS on the router's ports. */
    public static Transport plain() {
        return new Transport(TlsFiles.none(), ANY_ADDRESS);
    }

    /** Returns this configuration with a local address for outgoing connections; empty for any address. */
    public Transport withOutgoingAddress(String address) {
        return new Transport(files, address);
    }

    /** Returns whether the router's ports use TLS. */
    public boolean isSecure() {
        return files.isSecure();
    }

    /** Returns the URL scheme of ports within the fleet. */
    public String scheme() {
        return isSecure() ? "https" : "http";
    }

    /** Configures the port for callers, which requires no client certificate. */
    public <O extends NetServerOptions> O forCallers(O options) {
        if (isSecure()) {
            options.setSsl(true).setKeyCertOptions(routerKey());
            options.setEnabledSecureTransportProtocols(PROTOCOLS);
        }
        return options;
    }

    /** Configures the ports for routers and operators, which require a client certificate of the fleet. */
    public <O extends NetServerOptions> O forMembers(O options) {
        if (isSecure()) {
            forCallers(options).setClientAuth(ClientAuth.REQUIRED).setTrustOptions(fleetTrust());
        }
        return options;
    }

    /** Configures connections to other routers, whatever address they are reached by. */
    public NetClientOptions toPeers(NetClientOptions options) {
        return toMembers(options).setHostnameVerificationAlgorithm(NO_HOST_NAME_VERIFICATION);
    }

    /** Configures connections to the admin ports of routers. */
    public <O extends HttpClientOptions> O toAdminPorts(O options) {
        toMembers(options).setVerifyHost(false);
        return options;
    }

    /**
     * Configures connections to the platform, upstreams and the rating service; TLS is used if the URL scheme is https.
     */
    public <O extends HttpClientOptions> O toUpstreams(O options) {
        trust(files.upstreamAuthorities()).ifPresent(options::setTrustOptions);
        return withLocalAddress(options);
    }

    /** Configures connections that only test whether an upstream accepts connections. */
    public NetClientOptions toConnectProbes(NetClientOptions options) {
        return withLocalAddress(options);
    }

    private <O extends ClientOptionsBase> O toMembers(O options) {
        if (isSecure()) {
            options.setSsl(true).setKeyCertOptions(routerKey()).setTrustOptions(fleetTrust());
            options.setEnabledSecureTransportProtocols(PROTOCOLS);
        }
        return withLocalAddress(options);
    }

    private <O extends ClientOptionsBase> O withLocalAddress(O options) {
        if (!outgoingAddress.isEmpty()) {
            options.setLocalAddress(outgoingAddress);
        }
        return options;
    }

    private KeyCertOptions routerKey() {
        return new PemKeyCertOptions()
                .setCertPath(files.certificate().orElseThrow())
                .setKeyPath(files.key().orElseThrow());
    }

    private TrustOptions fleetTrust() {
        return trust(files.fleetAuthorities()).orElseThrow();
    }

    private static Optional<TrustOptions> trust(Optional<String> authorities) {
        return authorities.map(path -> new PemTrustOptions().addCertPath(path));
    }
}
