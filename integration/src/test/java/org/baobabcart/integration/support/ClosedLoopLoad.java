package org.baobabcart.integration.support;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntFunction;

/** Callers that each send one request after the other until they are told to end. */
public final class ClosedLoopLoad implements AutoCloseable {
    private final AtomicBoolean ending = new AtomicBoolean();
    private final ConcurrentLinkedQueue<CallerResponse> replies = new ConcurrentLinkedQueue<>();
    private final List<Thread> threads = new ArrayList<>();

    private ClosedLoopLoad() {}

    /** Starts callers; the function makes one request and waits for its reply. */
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
        return replies.size();
    }

    /** Waits until so many more replies have come. */
    public void awaitMore(int more) {
        int target = count() + more;
        Await.until(more + " more replies", () -> count() >= target);
    }

    /** Ends the callers and gives all replies. */
    public List<CallerResponse> end() {
        close();
        return List.copyOf(replies);
    }

    @Override
    public void close() {
        ending.set(true);
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
        while (!ending.get()) {
            replies.add(request.apply(caller));
        }
    }
}
