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

/** Sends planned requests at their times and records what becomes of them. Used by one thread. */
public final class LoadGenerator implements AutoCloseable {
    private static final int MOST_CONNECTIONS = 4_000;
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
                new PoolOptions().setHttp1MaxSize(MOST_CONNECTIONS).setMaxWaitQueueSize(-1));
    }

    /** A generator with connections of its own. */
    public static LoadGenerator create() {
        return new LoadGenerator();
    }

    /** Sends the load and waits for its last request, at the longest for the requests' own time-out. */
    public LoadReport run(LoadSettings settings) {
        List<PlannedRequest> plan = LoadPlan.of(settings);
        LoadRecorder recorder = new LoadRecorder();
        CountDownLatch open = new CountDownLatch(plan.size());
        long origin = System.nanoTime();
        Targets targets = Targets.of(settings.targets());
        for (PlannedRequest planned : plan) {
            pauseUntil(origin + planned.startNanos());
            PlannedRequest request = targets.aim(planned, settings.choice());
            targets.begun(request);
            recorder.record(request, GroupRecorder::planned);
            RequestRun.start(vertx, client, settings, request, origin, recorder, () -> {
                targets.ended(request);
                open.countDown();
            });
        }
        await(open, settings);
        return recorder.report();
    }

    @Override
    public void close() {
        client.close();
        vertx.close();
    }

    private static void pauseUntil(long nanoTime) {
        long left = nanoTime - System.nanoTime();
        while (left > 0) {
            if (left > SPIN_NANOS) {
                LockSupport.parkNanos(left - SPIN_NANOS);
            } else {
                Thread.onSpinWait();
            }
            left = nanoTime - System.nanoTime();
        }
    }

    private static void await(CountDownLatch open, LoadSettings settings) {
        try {
            open.await(settings.timeout().toSeconds() + GRACE_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
