package org.baobabcart.router.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ControlLoopTest {
    private static final int TIMEOUT_SECONDS = 30;

    private final ControlLoop loop = ControlLoop.create("control-test");

    @AfterEach
    void close() {
        loop.close();
    }

    @Test
    void runsTasksInOrderOnOneThread() throws Exception {
        List<Integer> order = new CopyOnWriteArrayList<>();
        CompletableFuture<Boolean> current = new CompletableFuture<>();
        loop.execute(() -> order.add(1));
        loop.execute(() -> order.add(2));
        loop.execute(() -> current.complete(loop.isCurrent()));
        assertThat(current.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
        assertThat(order, contains(1, 2));
    }

    @Test
    void assertCurrentThrowsOnOtherThreads() {
        assertThrows(IllegalStateException.class, loop::assertCurrent);
    }

    @Test
    void continuesAfterATaskThrows() throws Exception {
        CompletableFuture<Boolean> later = new CompletableFuture<>();
        loop.execute(() -> {
            throw new IllegalStateException("expected by the test");
        });
        loop.execute(() -> later.complete(true));
        assertThat(later.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    }

    @Test
    void timersRunOnTheControlThread() throws Exception {
        CompletableFuture<Boolean> once = new CompletableFuture<>();
        CompletableFuture<Boolean> repeated = new CompletableFuture<>();
        SystemTimerService timers = SystemTimerService.on(loop);
        timers.after("once", Duration.ofMillis(1), () -> once.complete(loop.isCurrent()));
        timers.every("repeated", Duration.ofMillis(1), () -> repeated.complete(loop.isCurrent()));
        assertThat(once.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
        assertThat(repeated.get(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    }
}
