package org.baobabcart.standins.proxy;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.function.Consumer;

/**
 * A proxied connection, which consists of the caller's socket and the socket to the target. Confined to the event loop.
 */
final class ProxiedConnection {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    private final Vertx vertx;
    private final NetSocket caller;
    private final NetSocket target;
    private final Consumer<ProxiedConnection> closeListener;
    private ProxyFaults faults = ProxyFaults.none();
    private boolean silenced;
    private long responseBytes;
    private long lastDueMillis;

    private ProxiedConnection(
            Vertx vertx, NetSocket caller, NetSocket target, Consumer<ProxiedConnection> closeListener) {
        this.vertx = vertx;
        this.caller = caller;
        this.target = target;
        this.closeListener = closeListener;
    }

    /** Connects two sockets. When one of them closes, the other is closed and the listener is notified. */
    static ProxiedConnection of(
            Vertx vertx, NetSocket caller, NetSocket target, Consumer<ProxiedConnection> closeListener) {
        ProxiedConnection connection = new ProxiedConnection(vertx, caller, target, closeListener);
        caller.handler(data -> connection.forward(target, data));
        target.handler(connection::forwardResponse);
        caller.closeHandler(ignored -> connection.onSocketClosed(target));
        target.closeHandler(ignored -> connection.onSocketClosed(caller));
        return connection;
    }

    /** Stops forwarding, including the close of either socket. */
    void silence() {
        silenced = true;
        caller.pause();
        target.pause();
    }

    /** Sets the faults and applies them unless the connection is silenced. */
    void apply(ProxyFaults newFaults) {
        faults = newFaults;
        if (silenced) {
            return;
        }
        if (faults.cut()) {
            terminate(caller);
            terminate(target);
        } else {
            setPaused(caller, faults.holdRequests());
            setPaused(target, faults.holdResponses());
        }
    }

    /** Closes a socket, or resets it if the faults say so. */
    private void terminate(NetSocket socket) {
        if (faults.reset()) {
            Sockets.reset(socket);
        } else {
            socket.close();
        }
    }

    private static void setPaused(NetSocket socket, boolean paused) {
        if (paused) {
            socket.pause();
        } else {
            socket.resume();
        }
    }

    private void forwardResponse(Buffer data) {
        if (faults.dropResponses()) {
            return;
        }
        long limit = faults.cutAfterBytes();
        if (limit > 0 && responseBytes + data.length() >= limit) {
            caller.write(data.slice(0, (int) Math.max(0, limit - responseBytes)))
                    .onComplete(ignored -> terminate(caller));
            target.close();
            return;
        }
        responseBytes += data.length();
        forward(caller, data);
        if (faults.duplicateResponses()) {
            forward(caller, data);
        }
    }

    private void forward(NetSocket destination, Buffer data) {
        if (silenced) {
            return;
        }
        long nowMillis = System.nanoTime() / NANOS_PER_MILLISECOND;
        long dueMillis = Math.max(lastDueMillis, nowMillis + faults.delayMillis());
        lastDueMillis = dueMillis;
        if (dueMillis <= nowMillis) {
            destination.write(data);
        } else {
            vertx.setTimer(dueMillis - nowMillis, ignored -> writeUnlessSilent(destination, data));
        }
    }

    private void writeUnlessSilent(NetSocket destination, Buffer data) {
        if (!silenced) {
            destination.write(data);
        }
    }

    private void onSocketClosed(NetSocket other) {
        if (!silenced) {
            other.close();
            closeListener.accept(this);
        }
    }
}
