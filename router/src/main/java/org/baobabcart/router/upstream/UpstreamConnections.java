package org.baobabcart.router.upstream;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientOptions;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;
import org.baobabcart.router.transport.ConnectionPool;
import org.baobabcart.router.transport.UnexpectedData;

/**
 * The connections to upstreams. Thread-safe.
 *
 * <p>Each upstream has connection pools of its own, so that all its kept connections can be retired together when one is
 * found silent.
 */
final class UpstreamConnections {
    static final int MAX_PER_UPSTREAM = 4096;
    /**
     * The kernel takes the double of it, and up to several megabytes without a limit: a request then counts as written that the upstream has not begun to
     * read. Enough for 6 MB a second over 20 ms.
     */
    private static final int SEND_BUFFER_BYTES = 64 * 1024;

    private final Vertx vertx;
    private final UpstreamClientSettings settings;
    private final Timeline timeline;
    private final Map<PoolKey, ConnectionPool> pools = new ConcurrentHashMap<>();
    private final EnumCounters<UnexpectedData.Kind> unexpectedData = EnumCounters.of(UnexpectedData.Kind.class);

    private UpstreamConnections(Vertx vertx, UpstreamClientSettings settings, Timeline timeline) {
        this.vertx = vertx;
        this.settings = settings;
        this.timeline = timeline;
    }

    /**
     * Creates pools without open connections.
     *
     * @param timeline records data of upstreams that belongs to no response
     */
    static UpstreamConnections create(Vertx vertx, UpstreamClientSettings settings, Timeline timeline) {
        return new UpstreamConnections(vertx, settings, timeline);
    }

    /** Registers counters of data that belonged to no response. */
    void registerMetrics(MetricRegistry metrics) {
        unexpectedData.register(metrics, "upstream.unexpected-data", List.of(UnexpectedData.Kind.values()));
    }

    /** Returns the pool of an upstream, reserved for a request. A pool is closed and removed in the same atomic step. */
    ConnectionPool reserve(VirtualMachine upstream, ConnectionChoice choice) {
        return pools.compute(
                new PoolKey(upstream.name(), choice), (key, pool) -> (pool == null ? newPool(key) : pool).reserve());
    }

    /**
     * Retires the kept connections of an upstream: no further request is sent on them, and each is closed when its
     * running request has ended.
     */
    void retire(String upstream) {
        ConnectionPool pool = pools.get(new PoolKey(upstream, ConnectionChoice.KEPT_OR_NEW));
        if (pool != null) {
            pool.retire();
        }
    }

    /** Retires the connections of all upstreams but these. */
    void retainOnly(Set<String> upstreams) {
        pools.keySet().stream()
                .filter(key -> !upstreams.contains(key.upstream()))
                .forEach(key -> pools.computeIfPresent(key, (ignored, pool) -> {
                    pool.closeWhenUnused();
                    return null;
                }));
    }

    /** Closes all connections, also those of running requests. */
    Future<Void> close() {
        return Future.join(pools.values().stream().map(ConnectionPool::close).toList())
                .mapEmpty();
    }

    private ConnectionPool newPool(PoolKey key) {
        return ConnectionPool.create(
                vertx,
                options(settings, key.choice() == ConnectionChoice.KEPT_OR_NEW),
                MAX_PER_UPSTREAM,
                data -> recordUnexpectedData(key.upstream(), data));
    }

    private void recordUnexpectedData(String upstream, UnexpectedData data) {
        unexpectedData.increment(data.kind());
        timeline.record(
                EventType.UNEXPECTED_DATA,
                EventFields.of(EventField.UPSTREAM, upstream)
                        .with(EventField.CONNECTION, data.connection().connection())
                        .with(EventField.CARRIED, data.connection().carriedBefore())
                        .with(EventField.CAUSE, data.kind().description())
                        .with(EventField.BYTES, data.bytes()));
    }

    /** Returns the options of connections to upstreams. */
    static HttpClientOptions options(UpstreamClientSettings settings, boolean keepAlive) {
        HttpClientOptions options = new HttpClientOptions()
                .setKeepAlive(keepAlive)
                .setKeepAliveTimeout((int) settings.idleTimeout().toSeconds())
                .setTcpKeepAlive(true)
                .setTcpNoDelay(true)
                .setSendBufferSize(SEND_BUFFER_BYTES)
                .setConnectTimeout((int) settings.connectTimeout().toMillis());
        return settings.transport().toUpstreams(options);
    }

    /** The connections of an upstream that are kept, or those that carry a single request. */
    private record PoolKey(String upstream, ConnectionChoice choice) {}
}
