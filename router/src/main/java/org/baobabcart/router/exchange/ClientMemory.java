package org.baobabcart.router.exchange;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.baobabcart.policy.admission.HeadBudget;

/** The memory that the heads of all clients take in a process. Thread-safe. */
public final class ClientMemory {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Of the connections that wait; one that still finds no memory goes to the end, so that each has its turn. */
    private static final int WOKEN_AT_ONCE = 16;

    private final ClientLimits limits;
    private final HeadBudget<RequestHeadGate> budget;
    private final Deque<RequestHeadGate> waiting = new ArrayDeque<>();
    private final Meter closed;
    private final Meter refused;

    private ClientMemory(ClientLimits limits, MetricRegistry metrics) {
        this.limits = limits;
        this.budget = HeadBudget.of(limits.headBytes(), limits.unparsedBytes());
        this.closed = metrics.meter("clients.closed");
        this.refused = metrics.meter("clients.heads-refused");
        metrics.gauge("clients.head-bytes", () -> this::parsedBytes);
        metrics.gauge("clients.unparsed-bytes", () -> this::unparsedBytes);
        metrics.gauge("clients.heads-waiting", () -> this::waiting);
    }

    /** Creates a budget of which nothing is used, with its metrics. */
    public static ClientMemory create(ClientLimits limits, MetricRegistry metrics) {
        return new ClientMemory(limits, metrics);
    }

    /** Returns the limits. */
    public ClientLimits limits() {
        return limits;
    }

    /** Counts and logs a connection that was closed because clients take too much. */
    void countClosed(String reason) {
        closed.mark();
        LOGGER.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
                "event=client_closed cause=%s closed=%d", reason, closed.getCount());
    }

    /** Counts a request that was refused before it was parsed. */
    void countRefused() {
        refused.mark();
    }

    /** Takes the memory for a parsed head, or notes that the connection waits for it; {@link RequestHeadGate#memoryReleased} follows then. */
    synchronized boolean tryParse(RequestHeadGate gate, HeadBudget.Head head) {
        if (budget.tryParse(head)) {
            return true;
        }
        waiting.add(gate);
        return false;
    }

    /** Takes the memory for trailers that were parsed; returns false, and takes nothing, if it does not fit. */
    synchronized boolean tryAddTrailers(HeadBudget.Head trailers) {
        return budget.tryAddTrailers(trailers);
    }

    /** Gives back the memory for a parsed head and wakes the connections that wait. */
    void release(HeadBudget.Head head) {
        synchronized (this) {
            budget.release(head);
        }
        wakeWaiting();
    }

    /** Wakes the next connections that wait. */
    void wakeWaiting() {
        List<RequestHeadGate> woken = new ArrayList<>();
        synchronized (this) {
            while (!waiting.isEmpty() && woken.size() < WOKEN_AT_ONCE) {
                woken.add(waiting.poll());
            }
        }
        woken.forEach(RequestHeadGate::memoryReleased);
    }

    /** Sets the number of unparsed bytes of a connection; closes those that hold most if they are too many. */
    void hold(RequestHeadGate gate, int bytes) {
        List<RequestHeadGate> largest;
        synchronized (this) {
            largest = budget.hold(gate, bytes);
        }
        largest.forEach(RequestHeadGate::turnAway);
    }

    /** Forgets a connection that is closed. */
    synchronized void remove(RequestHeadGate gate) {
        budget.hold(gate, 0);
        waiting.remove(gate);
    }

    private synchronized long parsedBytes() {
        return budget.parsedBytes();
    }

    private synchronized long unparsedBytes() {
        return budget.unparsedBytes();
    }

    private synchronized int waiting() {
        return waiting.size();
    }
}
