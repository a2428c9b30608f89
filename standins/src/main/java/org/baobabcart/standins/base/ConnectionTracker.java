package org.baobabcart.standins.base;

import io.vertx.core.http.HttpConnection;
import java.util.HashSet;
import java.util.Set;

/** Open HTTP connections and those that have gone silent for good. Confined to the event loop. */
public final class ConnectionTracker {
    private final Set<HttpConnection> open = new HashSet<>();
    private final Set<HttpConnection> silent = new HashSet<>();

    /** Remembers a connection until it closes. */
    public void opened(HttpConnection connection) {
        open.add(connection);
        connection.closeHandler(ignored -> closed(connection));
    }

    /** Lets every connection that is open now go silent but for one; connections opened later work. */
    public void silenceOpenExcept(HttpConnection spared) {
        silent.addAll(open);
        silent.remove(spared);
    }

    /** Whether nothing may be sent on the connection any more. */
    public boolean isSilent(HttpConnection connection) {
        return silent.contains(connection);
    }

    private void closed(HttpConnection connection) {
        open.remove(connection);
        silent.remove(connection);
    }
}
