package org.baobabcart.standins.base;

import io.vertx.core.http.HttpConnection;
import java.util.HashSet;
import java.util.Set;

/** Tracks open HTTP connections and those permanently silenced by a fault. Confined to the event loop. */
public final class ConnectionTracker {
    private final Set<HttpConnection> open = new HashSet<>();
    private final Set<HttpConnection> silenced = new HashSet<>();

    /** Tracks a connection until it closes. */
    public void add(HttpConnection connection) {
        open.add(connection);
        connection.closeHandler(ignored -> remove(connection));
    }

    /** Silences every connection that is open now except one. Connections opened later are not affected. */
    public void silenceAllExcept(HttpConnection exempt) {
        silenced.addAll(open);
        silenced.remove(exempt);
    }

    /** Returns whether nothing may be sent on the connection any more. */
    public boolean isSilent(HttpConnection connection) {
        return silenced.contains(connection);
    }

    private void remove(HttpConnection connection) {
        open.remove(connection);
        silenced.remove(connection);
    }
}
