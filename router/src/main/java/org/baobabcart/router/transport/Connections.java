package org.baobabcart.router.transport;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.Optional;

/** Utility for connections whose peer may have stopped reading, and for their Netty channels. */
public final class Connections {
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 16 * 1024;

    private Connections() {}

    /**
     * Closes a connection immediately and drops unwritten data. Closing through Vert.x waits until all data is written,
     * which never happens if the peer does not read, so this closes the underlying Netty channel.
     */
    public static void abort(HttpConnection connection) {
        if (connection instanceof ConnectionBase base) {
            base.channelHandlerContext().close();
        } else {
            connection.close();
        }
    }

    /**
     * Limits what is read from a connection in one turn of the event loop. A reader that pauses gets the rest of that turn all the same,
     * which Netty would let grow to a megabyte for each connection.
     */
    public static void limitReadAhead(HttpConnection connection) {
        channelOf(connection)
                .ifPresent(channel -> channel.config()
                        .setRecvByteBufAllocator(
                                new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                        .maxMessagesPerRead(1)));
    }

    /** Runs an action when a connection is closed, also if it was closed before. */
    static void onClose(HttpConnection connection, Runnable action) {
        channelOf(connection)
                .ifPresentOrElse(
                        channel -> channel.closeFuture().addListener(ignored -> action.run()),
                        () -> connection.closeHandler(ignored -> action.run()));
    }

    /** Returns the Netty channel of a connection; empty if it has none of its own. */
    public static Optional<Channel> channelOf(HttpConnection connection) {
        return connection instanceof ConnectionBase base ? Optional.of(base.channel()) : Optional.empty();
    }
}
