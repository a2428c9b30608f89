package org.baobabcart.router.peer;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import io.vertx.core.net.SocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TBase;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.wire.AttemptReply;
import org.baobabcart.wire.AttemptRequest;
import org.baobabcart.wire.ClaimReply;
import org.baobabcart.wire.ClaimRequest;
import org.baobabcart.wire.DocumentReply;
import org.baobabcart.wire.DocumentRequest;
import org.baobabcart.wire.Exchange;
import org.baobabcart.wire.HoldReply;
import org.baobabcart.wire.HoldRequest;
import org.baobabcart.wire.ProbeReply;
import org.baobabcart.wire.ProbeRequest;
import org.baobabcart.wire.ReleaseReply;
import org.baobabcart.wire.ReleaseRequest;
import org.baobabcart.wire.SettleReply;
import org.baobabcart.wire.SettleRequest;

/**
 * Client that calls other routers over one connection for each peer, opened by the first call and closed when idle.
 * Thread-safe; replies are delivered on an event loop.
 *
 * <p>A periodic sweep fails overdue calls, so that calls need no timers of their own. Failed calls are not repeated.
 */
public final class ThriftPeerClient implements PeerClient, AutoCloseable {
    private final Vertx vertx;
    private final NetClient client;
    private final PeerSettings settings;
    private final PeerCodec codec;
    private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();
    private final long sweepTimer;

    private ThriftPeerClient(Vertx vertx, PeerSettings settings) {
        NetClientOptions options = new NetClientOptions()
                .setConnectTimeout((int) settings.connectTimeout().toMillis())
                .setTcpNoDelay(true)
                .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
                .setIdleTimeout((int) settings.idleTimeout().toMillis());
        this.vertx = vertx;
        this.client = vertx.createNetClient(settings.transport().toPeers(options));
        this.settings = settings;
        this.codec = new PeerCodec(settings.maxFrameBytes());
        this.sweepTimer = vertx.setPeriodic(settings.sweepPeriod().toMillis(), ignored -> sweep());
    }

    /** Creates a client without connections. */
    public static ThriftPeerClient create(Vertx vertx, PeerSettings settings) {
        return new ThriftPeerClient(vertx, settings);
    }

    /** Fails the pending calls and closes all connections. */
    @Override
    public void close() {
        vertx.cancelTimer(sweepTimer);
        connections.values().forEach(PeerConnection::close);
        client.close();
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return connections.size();
    }

    @Override
    public Uni<Exchange> exchange(String address, Exchange request, Duration timeout) {
        return call(address, PeerMethod.EXCHANGE, request, timeout);
    }

    @Override
    public Uni<ProbeReply> probe(String address, ProbeRequest request, Duration timeout) {
        return call(address, PeerMethod.PROBE, request, timeout);
    }

    @Override
    public Uni<DocumentReply> fetchDocument(String address, DocumentRequest request, Duration timeout) {
        return call(address, PeerMethod.FETCH_DOCUMENT, request, timeout);
    }

    @Override
    public Uni<ClaimReply> claim(String address, ClaimRequest request, Duration timeout) {
        return call(address, PeerMethod.CLAIM, request, timeout);
    }

    @Override
    public Uni<SettleReply> settle(String address, SettleRequest request, Duration timeout) {
        return call(address, PeerMethod.SETTLE, request, timeout);
    }

    @Override
    public Uni<AttemptReply> attemptState(String address, AttemptRequest request, Duration timeout) {
        return call(address, PeerMethod.ATTEMPT_STATE, request, timeout);
    }

    @Override
    public Uni<HoldReply> holdBills(String address, HoldRequest request, Duration timeout) {
        return call(address, PeerMethod.HOLD_BILLS, request, timeout);
    }

    @Override
    public Uni<ReleaseReply> releaseBills(String address, ReleaseRequest request, Duration timeout) {
        return call(address, PeerMethod.RELEASE_BILLS, request, timeout);
    }

    private <Q, R, A extends TBase<?, ?>, S extends TBase<?, ?>> Uni<R> call(
            String address, PeerMethod<Q, R, A, S> method, Q request, Duration timeout) {
        return Uni.createFrom().emitter(emitter -> {
            long deadline = System.nanoTime() + timeout.toNanos();
            connection(address).call(method, request, deadline, emitter);
        });
    }

    private PeerConnection connection(String address) {
        return connections.compute(address, (ignored, open) -> open != null && open.isUsable() ? open : open(address));
    }

    private PeerConnection open(String address) {
        int separator = address.lastIndexOf(':');
        if (separator < 0) {
            throw BaobabcartException.of(ResultCode.UPSTREAM_UNREACHABLE, "peer address without a port: " + address);
        }
        int port = Integer.parseInt(address.substring(separator + 1));
        SocketAddress target = SocketAddress.inetSocketAddress(port, address.substring(0, separator));
        return PeerConnection.open(client.connect(target), codec, settings);
    }

    private void sweep() {
        long now = System.nanoTime();
        connections.values().forEach(connection -> connection.sweep(now));
        connections.values().removeIf(connection -> !connection.isUsable());
    }
}
