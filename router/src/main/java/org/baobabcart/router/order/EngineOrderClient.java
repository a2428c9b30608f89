package org.baobabcart.router.order;

import io.smallrye.mutiny.Uni;
import java.util.function.BooleanSupplier;
import org.baobabcart.model.platform.VirtualMachine;

/** Sends orders to engines. Thread-safe. */
public interface EngineOrderClient {
    /**
     * Sends an order once.
     *
     * @param mayAct checked when the connection is open, immediately before the order is written to it; may be called
     *     by any thread
     * @return the result; never fails
     */
    Uni<OrderSendResult> send(VirtualMachine engine, EngineOrder order, BooleanSupplier mayAct);
}
