package org.baobabcart.router.order;

import io.smallrye.mutiny.Uni;
import java.util.function.BooleanSupplier;
import org.baobabcart.model.platform.VirtualMachine;

/** Sends orders to engines. Thread-safe. */
public interface EngineOrders {
    /**
     * Sends an order once.
     *
     * @param mayAct asked after the connection is open and just before the order is written to it; any thread may call it
     * @return what became of the order; never fails
     */
    Uni<OrderAnswer> send(VirtualMachine engine, EngineOrder order, BooleanSupplier mayAct);
}
