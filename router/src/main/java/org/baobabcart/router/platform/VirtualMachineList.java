package org.baobabcart.router.platform;

import io.smallrye.mutiny.Uni;
import java.util.List;
import org.baobabcart.model.platform.VirtualMachine;

/** The platform's list of VMs, which lags behind the actual state. Thread-safe. */
@FunctionalInterface
public interface VirtualMachineList {
    /** Reads the whole list; fails with {@code PLATFORM_UNAVAILABLE}. */
    Uni<List<VirtualMachine>> read();
}
