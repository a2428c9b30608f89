package org.baobabcart.router.gateway;

import java.time.Duration;
import java.util.Optional;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.platform.VirtualMachine;

/**
 * An entry of the list of upstreams. Immutable.
 *
 * @param machine the upstream
 * @param remainingColdTime how long it remains cold, zero if it is warm; empty if the entry does not tell
 * @param version the version of the entry, which tells whether it is news
 */
record ListedUpstream(VirtualMachine machine, Optional<Duration> remainingColdTime, String version) {
    /** Decodes an entry; empty for one that takes no requests. */
    static Optional<ListedUpstream> decode(GatewayObjectCodec codec, StoredObject object) {
        return codec.upstream(object)
                .map(machine -> new ListedUpstream(machine, codec.remainingColdTime(object), object.resourceVersion()));
    }
}
