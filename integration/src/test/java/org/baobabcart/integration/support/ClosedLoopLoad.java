package org.baobabcart.integration.support;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntFunction;

/** Closed-loop load: each caller sends its next request when the previous response has arrived, until stopped. */
public final class ClosedLoopLoad implements AutoCloseable {
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final ConcurrentLinkedQueue<CallerResponse> responses = new ConcurrentLinkedQueue<>();
    private final List<Thread> threads = new ArrayList<>();

    private ClosedLoopLoad() {}

    /** Starts callers. The function sends one request and waits for its response. */
    public static ClosedLoopLoad start(int callers, IntFunction<CallerResponse> request) {
        ClosedLoopLoad load = new ClosedLoopLoad();
        for (int caller = 0; caller < callers; caller++) {
            int number = caller;
            Thread thread = new Thread(() -> load.run(number, request), "caller-" + caller);
            load.threads.add(thread);
            thread.start();
        }
        return load;
    }

    public int count() {
        return responses.size();
    }

    /** Waits for a number of further responses. */
    public void awaitMore(int more) {
        int target = count() + more;
        Await.until(more + " more responses have arrived", () -> count() >= target);
    }

    /** Stops the callers and returns all responses. */
    public List<CallerResponse> stop() {
        close();
        return List.copyOf(responses);
    }

    @Override
    public void close() {
        stopping.set(true);
        for (Thread thread : threads) {
            try {
                thread.join();
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void run(int caller, IntFunction<CallerResponse> request) {
        while (!stopping.get()) {
            responses.add(request.apply(caller));
        }
    }
}
