package org.baobabcart.router.control;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Tracks the deadlines of pending calls; a periodic sweep finds expired ones, instead of one timer for each call.
 * Thread-safe.
 */
public final class DeadlineSweep {
    private final Map<CompletableFuture<?>, PendingCall> pendingCalls = new ConcurrentHashMap<>();

    /** A deadline and the action to run when it has passed. */
    private record PendingCall(long deadlineNanos, Runnable onTimeout) {}

    private DeadlineSweep() {}

    /** Creates a sweep without pending calls. */
    public static DeadlineSweep create() {
        return new DeadlineSweep();
    }

    /** Registers an action to run if the call has not completed by its deadline. */
    public void add(CompletableFuture<?> call, long deadlineNanos, Runnable onTimeout) {
        pendingCalls.put(call, new PendingCall(deadlineNanos, onTimeout));
        call.whenComplete((result, failure) -> pendingCalls.remove(call));
    }

    /** Runs the actions of all pending calls whose deadlines have passed. */
    public void runExpired(long nowNanos) {
        List<PendingCall> expired = pendingCalls.values().stream()
                .filter(pending -> nowNanos - pending.deadlineNanos() >= 0)
                .toList();
        expired.forEach(pending -> pending.onTimeout().run());
    }
}
