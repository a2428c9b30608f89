package org.baobabcart.router.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.Optional;
import org.baobabcart.model.gateway.Evacuation;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.result.BaobabcartException;

/**
 * Decodes objects of the platform's store and encodes the status of orders. Thread-safe and stateless.
 *
 * <p>Each method throws a {@link BaobabcartException} with the path of the invalid field if an object cannot be decoded.
 */
public interface GatewayObjectCodec {
    /** Returns the kind of the operator's configuration objects. */
    String configurationKind();

    /** Returns the kind of upstream objects. */
    String upstreamKind();

    /** Returns the kind of the orders that move services to other versions. */
    String orderKind();

    /** Returns the kind of the orders that take data centres out of use. */
    String evacuationKind();

    /** Decodes the operator's configuration; empty for another object of the same kind. */
    Optional<RouteTable> routeTable(StoredObject object);

    /** Decodes an upstream; empty for one that takes no requests. */
    Optional<VirtualMachine> upstream(StoredObject object);

    /** Decodes how long an upstream remains cold, zero if it is warm; empty if its object does not tell. */
    default Optional<Duration> remainingColdTime(StoredObject object) {
        return Optional.empty();
    }

    /** Decodes an order. */
    VersionOrder order(StoredObject object);

    /** Decodes an order that takes a data centre out of use. */
    Evacuation evacuation(StoredObject object);

    /** Encodes the state and progress of an order as the status of its stored object, which the operator reads. */
    JsonNode status(VersionOrder order);
}
