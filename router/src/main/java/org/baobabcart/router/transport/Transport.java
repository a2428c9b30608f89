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
 * Sets the options of servers and clients that concern TLS and the address that connections come from. Immutable and
 * thread-safe.
 *
 * <p>Callers see the own certificate and need none, since they have keys. Routers and operators prove themselves by a
 * certificate of the fleet's authorities (mutual TLS). Host names are checked towards the platform and upstreams; not
 * between routers, which go by IP numbers and are replaced at any time, so that there the authority alone counts.
 */
public final class Transport {
    private static final Set<String> PROTOCOLS = Set.of("TLSv1.2", "TLSv1.3");
    private static final String NO_HOST_CHECK = "";
    private static final String ANY_ADDRESS = "";

    private final SecurityFiles files;
    private final String outgoingAddress;

    private Transport(SecurityFiles files, String outgoingAddress) {
        this.files = files;
        this.outgoingAddress = outgoingAddress;
    }

    /**
     * Security by these files.
     *
     * @throws BaobabcartException with {@link ResultCode#BAD_SETTING} where some but not all of the own files are given
     */
    public static Transport of(SecurityFiles files) {
        if (files.isPartial()) {
            throw BaobabcartException.of(
                    ResultCode.BAD_SETTING, "certificate, key and fleet authorities go together: give all or none");
        }
        return new Transport(files, ANY_ADDRESS);
    }

    /** All ports are plain. */
    public static Transport plain() {
        return new Transport(SecurityFiles.none(), ANY_ADDRESS);
    }

    /** The same with connections that come from an address, or from any where it is empty. */
    public Transport withOutgoingAddress(String newOutgoingAddress) {
        return new Transport(files, newOutgoingAddress);
    }

    /** Whether the own ports speak TLS. */
    public boolean isSecure() {
        return files.isSecure();
    }

    /** The scheme of addresses of ports within the fleet. */
    public String scheme() {
        return isSecure() ? "https" : "http";
    }

    /** Options of the port for callers, who need no certificate. */
    public <O extends NetServerOptions> O forCallers(O options) {
        if (isSecure()) {
            options.setSsl(true).setKeyCertOptions(ownKey());
            options.setEnabledSecureTransportProtocols(PROTOCOLS);
        }
        return options;
    }

    /** Options of the ports for routers and operators, who need a certificate of the fleet. */
    public <O extends NetServerOptions> O forMembers(O options) {
        if (isSecure()) {
            forCallers(options).setClientAuth(ClientAuth.REQUIRED).setTrustOptions(fleetTrust());
        }
        return options;
    }

    /** Options of connections to other routers, by whatever address they are reached. */
    public NetClientOptions toPeers(NetClientOptions options) {
        return toMembers(options).setHostnameVerificationAlgorithm(NO_HOST_CHECK);
    }

    /** Options of connections to the operators' ports of routers. */
    public <O extends HttpClientOptions> O toOperatorPorts(O options) {
        toMembers(options).setVerifyHost(false);
        return options;
    }

    /** Options of connections to the platform, upstreams and the rating service; secure where the address is https. */
    public <O extends HttpClientOptions> O toUpstreams(O options) {
        trust(files.upstreamAuthorities()).ifPresent(options::setTrustOptions);
        return from(options);
    }

    /** Options of connections that are only opened to see whether an upstream grants them. */
    public NetClientOptions toUpstreamPorts(NetClientOptions options) {
        return from(options);
    }

    private <O extends ClientOptionsBase> O toMembers(O options) {
        if (isSecure()) {
            options.setSsl(true).setKeyCertOptions(ownKey()).setTrustOptions(fleetTrust());
            options.setEnabledSecureTransportProtocols(PROTOCOLS);
        }
        return from(options);
    }

    private <O extends ClientOptionsBase> O from(O options) {
        if (!outgoingAddress.isEmpty()) {
            options.setLocalAddress(outgoingAddress);
        }
        return options;
    }

    private KeyCertOptions ownKey() {
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
