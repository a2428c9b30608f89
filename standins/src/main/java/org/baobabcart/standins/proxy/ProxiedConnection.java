package org.baobabcart.standins.proxy;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import java.util.function.Consumer;

/** One proxied connection: the caller's socket and the one to the target. Confined to the event loop. */
final class ProxiedConnection {
    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    private final Vertx vertx;
    private final NetSocket caller;
    private final NetSocket target;
    private final Consumer<ProxiedConnection> closed;
    private ProxyFaults faults = ProxyFaults.none();
    private boolean silent;
    private long answerBytes;
    private long lastDueMillis;

    private ProxiedConnection(Vertx vertx, NetSocket caller, NetSocket target, Consumer<ProxiedConnection> closed) {
        this.vertx = vertx;
        this.caller = caller;
        this.target = target;
        this.closed = closed;
    }

    /** Joins two sockets; the listener is told when both are closed. */
    static ProxiedConnection of(Vertx vertx, NetSocket caller, NetSocket target, Consumer<ProxiedConnection> closed) {
        ProxiedConnection link = new ProxiedConnection(vertx, caller, target, closed);
        caller.handler(data -> link.pass(target, data));
        target.handler(link::passAnswer);
        caller.closeHandler(ignored -> link.sideClosed(target));
        target.closeHandler(ignored -> link.sideClosed(caller));
        return link;
    }

    /** Passes nothing more, not even the end of a connection. */
    void silence() {
        silent = true;
        caller.pause();
        target.pause();
    }

    /** Puts faults in force. */
    void apply(ProxyFaults newFaults) {
        faults = newFaults;
        if (silent) {
            return;
        }
        if (faults.cut()) {
            end(caller);
            end(target);
        } else {
            hold(caller, faults.holdRequests());
            hold(target, faults.holdAnswers());
        }
    }

    /** Closes a socket, or resets it where the faults ask for that. */
    private void end(NetSocket socket) {
        if (faults.reset()) {
            Sockets.reset(socket);
        } else {
            socket.close();
        }
    }

    private static void hold(NetSocket socket, boolean held) {
        if (held) {
            socket.pause();
        } else {
            socket.resume();
        }
    }

    private void passAnswer(Buffer data) {
        if (faults.dropAnswers()) {
            return;
        }
        long limit = faults.cutAfterBytes();
        if (limit > 0 && answerBytes + data.length() >= limit) {
            caller.write(data.slice(0, (int) Math.max(0, limit - answerBytes))).onComplete(ignored -> end(caller));
            target.close();
            return;
        }
        answerBytes += data.length();
        pass(caller, data);
        if (faults.duplicateAnswers()) {
            pass(caller, data);
        }
    }

    private void pass(NetSocket destination, Buffer data) {
        if (silent) {
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
        if (!silent) {
            destination.write(data);
        }
    }

    private void sideClosed(NetSocket other) {
        if (!silent) {
            other.close();
            closed.accept(this);
        }
    }
}
