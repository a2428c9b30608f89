package org.baobabcart.router.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.result.BaobabcartException;

/**
 * What the objects in the platform's store mean. Thread-safe and stateless.
 *
 * <p>Each method throws a {@link BaobabcartException} with the path of the fault where an object cannot be read.
 */
public interface GatewayObjectCodec {
    /** The kind of the operator's configuration. */
    String configurationKind();

    /** The kind of upstreams. */
    String upstreamKind();

    /** The kind of orders to move services to other versions. */
    String orderKind();

    /** The operator's configuration; empty for another object of its kind. */
    Optional<RouteTable> routeTable(StoredObject object);

    /** An upstream; empty for one that no work is for. */
    Optional<VirtualMachine> upstream(StoredObject object);

    /** An order. */
    VersionOrder order(StoredObject object);

    /** The status by which an order's state is told to the operator. */
    JsonNode status(VersionOrder order);
}
