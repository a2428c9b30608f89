package org.baobabcart.router.exchange;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.admission.ByteBudget;

/**
 * Limits the memory used by the bodies of callers' requests, from before they are read until the requests have ended.
 * Thread-safe.
 */
public final class BodyBudget {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** A body without progress for this time gives way when others wait for its memory. */
    private static final Duration STALL = Duration.ofSeconds(2);

    private final Vertx vertx;
    private final ByteBudget budget;
    private final Map<ByteBudget.Entry, Waiter> waiters = new HashMap<>();
    private final Map<ByteBudget.Entry, Runnable> turnAwayActions = new HashMap<>();
    private final long stallNanos;
    private long turnedAway;

    private record Waiter(Context context, Promise<Reservation> granted) {}

    private BodyBudget(Vertx vertx, long limitBytes, Duration stall) {
        this.vertx = vertx;
        this.stallNanos = stall.toNanos();
        this.budget = ByteBudget.of(limitBytes);
    }

    /** Creates a budget of which nothing is used. */
    public static BodyBudget create(Vertx vertx, long limitBytes) {
        return create(vertx, limitBytes, STALL);
    }

    /** Creates a budget whose bodies may be turned away after a time without progress. */
    static BodyBudget create(Vertx vertx, long limitBytes, Duration stall) {
        return new BodyBudget(vertx, limitBytes, stall);
    }

    /** Returns the number of bodies that stopped arriving and were turned away because others waited for their memory. */
    public synchronized long turnedAway() {
        return turnedAway;
    }

    /** Returns the bytes that are reserved. */
    public synchronized long usedBytes() {
        return budget.usedBytes();
    }

    /** Returns the number of bodies that wait for memory. */
    public synchronized int waiting() {
        return budget.waiting();
    }

    /**
     * Reserves memory. The result completes on the context of the caller when the bytes are granted, and fails with
     * {@code QUEUE_FULL} if they never can be or too many bodies wait.
     */
    Pending reserve(int rank, String workspace, long bytes, boolean sizeKnown) {
        ByteBudget.Entry entry = sizeKnown
                ? ByteBudget.Entry.of(rank, workspace, bytes)
                : ByteBudget.Entry.ofUnknownSize(rank, workspace, bytes);
        Promise<Reservation> granted = Promise.promise();
        ByteBudget.Decision decision;
        List<Runnable> stalled = List.of();
        synchronized (this) {
            decision = budget.offer(entry);
            if (decision == ByteBudget.Decision.WAITING) {
                waiters.put(entry, new Waiter(vertx.getOrCreateContext(), granted));
                stalled = takeStalled(entry);
            }
        }
        stalled.forEach(Runnable::run);
        if (decision == ByteBudget.Decision.GRANTED) {
            granted.complete(new Reservation(entry));
        } else if (decision == ByteBudget.Decision.REFUSED) {
            granted.fail(full());
        }
        return new Pending(entry, granted);
    }

    private List<Runnable> takeStalled(ByteBudget.Entry needy) {
        List<Runnable> actions = budget.takeStalled(needy, System.nanoTime(), stallNanos).stream()
                .map(turnAwayActions::remove)
                .toList();
        turnedAway += actions.size();
        if (!actions.isEmpty()) {
            LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                    "event=stalled_bodies_refused bodies=%d all=%d", actions.size(), turnedAway);
        }
        return actions;
    }

    private static BaobabcartException full() {
        return BaobabcartException.of(ResultCode.QUEUE_FULL, "the memory for request bodies is used up");
    }

    private void release(ByteBudget.Entry entry) {
        Map<Reservation, Waiter> next = new HashMap<>();
        synchronized (this) {
            turnAwayActions.remove(entry);
            budget.release(entry).forEach(granted -> next.put(new Reservation(granted), waiters.remove(granted)));
        }
        next.forEach((reservation, waiter) -> waiter.context().runOnContext(ignored -> {
            if (!waiter.granted().tryComplete(reservation)) {
                // The request has ended or has waited too long meanwhile.
                reservation.release();
            }
        }));
    }

    /** A request for memory that may have been granted already. */
    final class Pending {
        private final ByteBudget.Entry entry;
        private final Promise<Reservation> granted;

        private Pending(ByteBudget.Entry entry, Promise<Reservation> granted) {
            this.entry = entry;
            this.granted = granted;
        }

        Future<Reservation> granted() {
            return granted.future();
        }

        /** Fails the request for memory if it still waits. */
        void giveUp() {
            synchronized (BodyBudget.this) {
                if (budget.withdraw(entry)) {
                    waiters.remove(entry);
                }
            }
            granted.tryFail(full());
        }
    }

    /** Memory that has been granted. Confined to one event loop, but for the budget itself. */
    final class Reservation {
        private final ByteBudget.Entry entry;
        private boolean released;

        private Reservation(ByteBudget.Entry entry) {
            this.entry = entry;
        }

        /** Grows the reservation to a size; returns false if that does not fit. */
        boolean tryGrow(long bytes) {
            synchronized (BodyBudget.this) {
                return budget.tryGrow(entry, bytes);
            }
        }

        long bytes() {
            return entry.bytes();
        }

        /** Begins to watch the progress of the body; the action runs on the caller's context if the body has to give way to another. */
        void startArriving(Runnable turnAway) {
            Context context = vertx.getOrCreateContext();
            synchronized (BodyBudget.this) {
                turnAwayActions.put(entry, () -> context.runOnContext(ignored -> turnAway.run()));
                budget.progressed(entry, System.nanoTime());
            }
        }

        /** Notes that a part of the body has arrived. */
        void progressed() {
            synchronized (BodyBudget.this) {
                if (turnAwayActions.containsKey(entry)) {
                    budget.progressed(entry, System.nanoTime());
                }
            }
        }

        /** Ends the watch, since nothing more is read. */
        void received() {
            synchronized (BodyBudget.this) {
                turnAwayActions.remove(entry);
                budget.received(entry);
            }
        }

        /** Returns the memory; does nothing the second time. */
        void release() {
            if (!released) {
                released = true;
                BodyBudget.this.release(entry);
            }
        }
    }
}
