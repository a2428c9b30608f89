package org.baobabcart.router.transport;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.internal.ContextInternal;
import java.util.concurrent.TimeUnit;

/**
 * Utility for scheduling on event loops. An iteration of an event loop first reads from connections and then runs the
 * tasks that are due.
 */
public final class EventLoops {
    private EventLoops() {}

    /**
     * Runs an action on the calling event loop after it has read from its connections again.
     *
     * <p>Data from a peer and the end of its connection are read in two iterations, however long both have been
     * available. After it was starved or blocked, an event loop finds many requests whose callers have disconnected,
     * but learns of the disconnects only one iteration later.
     */
    public static void runAfterNextRead(Runnable action) {
        ContextInternal context = (ContextInternal) Vertx.currentContext();
        runAfterNextRead(context.nettyEventLoop(), () -> context.runOnContext(ignored -> action.run()));
    }

    /** Completes on the calling context after the event loop of a connection has read from its connections again. */
    static Future<Void> afterNextRead(Vertx vertx, HttpConnection connection) {
        Promise<Void> read = ((ContextInternal) vertx.getOrCreateContext()).promise();
        Connections.channelOf(connection)
                .map(Channel::eventLoop)
                .ifPresentOrElse(loop -> runAfterNextRead(loop, read::complete), read::complete);
        return read.future();
    }

    private static void runAfterNextRead(EventLoop loop, Runnable action) {
        // A scheduled task runs after the reads of the current iteration; the task that it schedules runs after the
        // reads of the next one.
        loop.schedule(() -> loop.schedule(action, 0, TimeUnit.NANOSECONDS), 0, TimeUnit.NANOSECONDS);
    }
}
