package org.baobabcart.load;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Sends requests at their planned start times and records the results. Used by one thread. */
public final class LoadGenerator implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 4_000;
    private static final int EVENT_LOOPS = 2;

    private static final int CONNECT_TIMEOUT_MILLIS = 5_000;
    private static final long GRACE_SECONDS = 10;
    private static final long SPIN_NANOS = 50_000;

    private final Vertx vertx;
    private final HttpClient client;

    private LoadGenerator() {
        this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
        this.client = vertx.createHttpClient(
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setTcpNoDelay(true),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS).setMaxWaitQueueSize(-1));
    }

    /** Creates a generator with a separate connection pool. */
    public static LoadGenerator create() {
        return new LoadGenerator();
    }

    /** Sends the load, then waits for outstanding requests for up to the request timeout plus 10 seconds. */
    public LoadReport run(LoadSettings settings) {
        List<PlannedRequest> plan = LoadPlan.of(settings);
        LoadRecorder recorder = new LoadRecorder();
        CountDownLatch pendingRequests = new CountDownLatch(plan.size());
        long origin = System.nanoTime();
        Targets targets = Targets.of(settings.targets());
        for (PlannedRequest planned : plan) {
            pauseUntil(origin + planned.startNanos());
            PlannedRequest request = targets.select(planned, settings.choice());
            targets.requestStarted(request);
            recorder.record(request, GroupRecorder::recordPlanned);
            RequestRun.start(vertx, client, settings, request, origin, recorder, () -> {
                targets.requestEnded(request);
                pendingRequests.countDown();
            });
        }
        await(pendingRequests, settings);
        return recorder.report();
    }

    @Override
    public void close() {
        client.close();
        vertx.close();
    }

    private static void pauseUntil(long nanoTime) {
        long remaining = nanoTime - System.nanoTime();
        while (remaining > 0) {
            if (remaining > SPIN_NANOS) {
                LockSupport.parkNanos(remaining - SPIN_NANOS);
            } else {
                Thread.onSpinWait();
            }
            remaining = nanoTime - System.nanoTime();
        }
    }

    private static void await(CountDownLatch pendingRequests, LoadSettings settings) {
        try {
            pendingRequests.await(settings.timeout().toSeconds() + GRACE_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
