package org.baobabcart.router.control;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Calls that end by their deadline, found by one sweep rather than by a timer each. Thread-safe. */
public final class DeadlineSweep {
    private final Map<CompletableFuture<?>, Wait> waits = new ConcurrentHashMap<>();

    /** What happens when a deadline passes. */
    private record Wait(long deadlineNanos, Runnable whenLate) {}

    private DeadlineSweep() {}

    /** A sweep without calls. */
    public static DeadlineSweep create() {
        return new DeadlineSweep();
    }

    /** Runs an action if the call has not ended by its deadline. */
    public void add(CompletableFuture<?> call, long deadlineNanos, Runnable whenLate) {
        waits.put(call, new Wait(deadlineNanos, whenLate));
        call.whenComplete((result, failure) -> waits.remove(call));
    }

    /** Runs the actions of deadlines that have passed. */
    public void tick(long nowNanos) {
        List<Wait> late = waits.values().stream()
                .filter(wait -> nowNanos - wait.deadlineNanos() >= 0)
                .toList();
        late.forEach(wait -> wait.whenLate().run());
    }
}
