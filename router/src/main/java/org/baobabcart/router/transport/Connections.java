package org.baobabcart.router.transport;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;

/** Utility for closing connections whose peer may have stopped reading. */
public final class Connections {
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
}
