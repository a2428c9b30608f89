package org.baobabcart.router.exchange;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.time.Duration;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.baobabcart.router.transport.Connections;
import org.baobabcart.router.transport.EventLoopTimers;

/**
 * Closes connections on which no request arrives in time, including those with an incomplete request head. Confined to one event
 * loop.
 */
public final class ConnectionGuard {
    private final Vertx vertx;
    private final ClientMemory memory;
    private final RequestHeadGate.GateSettings gateSettings;
    private final Supplier<Duration> firstRequestTimeout;
    private final Supplier<Duration> nextRequestTimeout;
    /** The timers of connections without a request; those that have waited longest come first. */
    private final Map<HttpConnection, Long> timers = new LinkedHashMap<>();

    private final Map<HttpConnection, RequestHeadGate> gates = new IdentityHashMap<>();
    private final Set<HttpConnection> notReusable = Collections.newSetFromMap(new IdentityHashMap<>());
    private final Set<HttpConnection> open = Collections.newSetFromMap(new IdentityHashMap<>());
    /** The number of running requests of each connection that has any. */
    private final Map<HttpConnection, Integer> running = new IdentityHashMap<>();

    private ConnectionGuard(ExchangeDependencies dependencies, ClientMemory memory, Supplier<Limits> limits) {
        this.vertx = dependencies.vertx();
        this.memory = memory;
        this.firstRequestTimeout = () -> limits.get().firstRequest();
        this.nextRequestTimeout = () -> limits.get().nextRequest();
        this.gateSettings = new RequestHeadGate.GateSettings(
                () -> limits.get().headBytes(),
                () -> limits.get().firstRequest().toMillis(),
                RefusalFormat.of(dependencies));
    }

    /**
     * What the operator allows to a connection.
     *
     * @param headBytes the maximum size of the head of a request
     * @param firstRequest how long the first request, and the head of each, may take to arrive
     * @param nextRequest how long a connection may wait for a further request
     */
    public record Limits(int headBytes, Duration firstRequest, Duration nextRequest) {}

    /** Creates a guard whose limits may change; a connection uses the timeout that applies when it starts to wait. */
    public static ConnectionGuard create(
            ExchangeDependencies dependencies, ClientMemory memory, Supplier<Limits> limits) {
        return new ConnectionGuard(dependencies, memory, limits);
    }

    /** Called when a connection was opened. Beyond the limit of connections, the one that has been idle longest is closed. */
    public void connectionOpened(HttpConnection connection) {
        Connections.limitReadAhead(connection);
        RequestHeadGate.install(connection, memory, gateSettings).ifPresent(gate -> gates.put(connection, gate));
        open.add(connection);
        connection.closeHandler(ignored -> {
            open.remove(connection);
            running.remove(connection);
            cancelTimer(connection);
            gates.remove(connection);
            notReusable.remove(connection);
        });
        startTimer(connection, firstRequestTimeout.get());
        if (open.size() > memory.limits().connections()) {
            HttpConnection idlest = timers.keySet().iterator().next();
            cancelTimer(idlest);
            memory.countClosed("connections");
            Connections.abort(idlest);
        }
    }

    /** Marks the current request as the last on the connection, since bytes after it may not be a request of the caller. */
    public void markLastRequest(HttpConnection connection) {
        notReusable.add(connection);
    }

    /** Returns whether no further request may be read from the connection. */
    public boolean isReuseForbidden(HttpConnection connection) {
        return notReusable.contains(connection);
    }

    /** Returns whether connections may wait for a further request at all. */
    public boolean isReuseAllowed() {
        return !nextRequestTimeout.get().isZero();
    }

    /** Called when a request has started on the connection. */
    public void requestBegan(HttpConnection connection) {
        running.merge(connection, 1, Integer::sum);
        cancelTimer(connection);
    }

    /** Called when the request on the connection has ended; its response may still have to be written. */
    public void requestEnded(HttpConnection connection) {
        running.computeIfPresent(connection, (ignored, count) -> count > 1 ? count - 1 : null);
        RequestHeadGate gate = gates.get(connection);
        if (gate != null) {
            gate.requestEnded();
        }
    }

    /** Called when the response has been written. The connection waits for a further request, unless that has started already. */
    public void responseWritten(HttpConnection connection) {
        if (running.containsKey(connection) || !open.contains(connection)) {
            return;
        }
        cancelTimer(connection);
        if (isReuseAllowed()) {
            startTimer(connection, nextRequestTimeout.get());
        } else {
            connection.close();
        }
    }

    /** Closes the connections that wait for a request of which nothing has arrived. */
    public void closeIdle() {
        List.copyOf(timers.keySet()).stream()
                .filter(connection ->
                        gates.get(connection) == null || !gates.get(connection).hasBegunHead())
                .forEach(connection -> {
                    cancelTimer(connection);
                    connection.close();
                });
    }

    private void startTimer(HttpConnection connection, Duration limit) {
        long timer = EventLoopTimers.start(vertx, limit, () -> {
            timers.remove(connection);
            RequestHeadGate gate = gates.get(connection);
            if (gate == null || !gate.refuseIncompleteHead()) {
                Connections.abort(connection);
            }
        });
        timers.put(connection, timer);
    }

    private void cancelTimer(HttpConnection connection) {
        Long timer = timers.remove(connection);
        if (timer != null) {
            vertx.cancelTimer(timer);
        }
    }
}
