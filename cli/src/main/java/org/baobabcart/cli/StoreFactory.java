package org.baobabcart.cli;

import io.vertx.core.Vertx;
import java.net.URI;
import java.util.function.Function;
import org.baobabcart.router.platform.HttpObjectStore;
import org.baobabcart.router.platform.ObjectStore;
import org.baobabcart.router.platform.PlatformSettings;
import org.baobabcart.router.transport.Transport;

/** Creates clients of the platform's object API. */
final class StoreFactory {
    private StoreFactory() {}

    static Function<String, ObjectStore> create(Vertx vertx, Transport transport) {
        PlatformSettings settings = PlatformSettings.defaults().withTransport(transport);
        return address -> HttpObjectStore.create(vertx, URI.create(address), settings);
    }
}
