package org.baobabcart.router.claim;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.model.sheet.Service;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.ControlLoop;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.SystemTimerService;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.Members;
import org.baobabcart.router.platform.HttpObjectStore;
import org.baobabcart.router.platform.PlatformSettings;
import org.baobabcart.router.testing.LoopbackPeers;

/**
 * Measures claims against a platform. Arguments: the platform's URL, the duration of each rate in seconds, and the
 * rates in claims per second.
 */
final class ClaimMeasurement {
    private static final Service SERVICE = new Service("orders", List.of(), 86_400);
    private static final StoredReply REPLY = new StoredReply(201, Map.of(), "{\"booking\":\"0123456789\"}".getBytes());

    private final Vertx vertx = Vertx.vertx();
    private final MetricRegistry metrics = new MetricRegistry();
    private final PartitionClaimService service;

    private ClaimMeasurement(URI platform) {
        ControlLoop loop = ControlLoop.create("control");
        Blackboard blackboard = Blackboard.create();
        blackboard.write(
                Sections.MEMBERS, Members.alone(new Member("measured", 1, Member.State.ALIVE, "a", "a:1", "a:2")));
        service = PartitionClaimService.create(
                blackboard,
                SystemTimerService.on(loop),
                HttpObjectStore.create(vertx, platform, PlatformSettings.defaults()),
                new LoopbackPeers(),
                (type, requestId, detail) -> {},
                metrics,
                ClaimSettings.defaults());
        loop.execute(service::start);
    }

    public static void main(String[] arguments) {
        ClaimMeasurement measurement = new ClaimMeasurement(URI.create(arguments[0]));
        int seconds = Integer.parseInt(arguments[1]);
        System.out.println("rate granted refused writes/claim writes/s claim-ms-p50 p99 claim+settle-ms-p50 p99");
        Arrays.stream(arguments).skip(2).mapToInt(Integer::parseInt).forEach(rate -> measurement.run(rate, seconds));
        System.exit(0);
    }

    private void run(int rate, int seconds) {
        int total = rate * seconds;
        long writes = metrics.counter("claims.platform-writes").getCount();
        AtomicInteger granted = new AtomicInteger();
        long[] claimed = new long[total];
        long[] settled = new long[total];
        List<CompletableFuture<?>> calls = new ArrayList<>();
        long start = System.nanoTime();
        for (int index = 0; index < total; index++) {
            LockSupport.parkNanos(start + index * 1_000_000_000L / rate - System.nanoTime());
            calls.add(claimAndSettle(index, granted, claimed, settled));
        }
        CompletableFuture.allOf(calls.toArray(new CompletableFuture<?>[0])).join();
        double elapsed = (System.nanoTime() - start) / 1e9;
        long writesUsed = metrics.counter("claims.platform-writes").getCount() - writes;
        System.out.printf(
                "%d %d %d %.3f %.0f %s %s%n",
                rate,
                granted.get(),
                total - granted.get(),
                (double) writesUsed / total,
                writesUsed / elapsed,
                quantiles(claimed),
                quantiles(settled));
    }

    private CompletableFuture<Void> claimAndSettle(int index, AtomicInteger granted, long[] claimed, long[] settled) {
        ClaimCall call = new ClaimCall("w", "orders", RequestIds.next(), "digest", RequestIds.next());
        long start = System.nanoTime();
        return service.claim(call, SERVICE, Duration.ofSeconds(5))
                .subscribeAsCompletionStage()
                .thenCompose(decision -> {
                    claimed[index] = System.nanoTime() - start;
                    if (decision.kind() != ClaimDecision.Kind.GRANTED || !service.beginDispatch(call.attemptId())) {
                        return CompletableFuture.<Void>completedFuture(null);
                    }
                    granted.incrementAndGet();
                    return service.settle(call, ClaimOutcome.finished(REPLY)).subscribeAsCompletionStage();
                })
                .handle((ignored, failure) -> {
                    settled[index] = System.nanoTime() - start;
                    return null;
                });
    }

    private static String quantiles(long[] nanos) {
        long[] sorted = nanos.clone();
        Arrays.sort(sorted);
        return "%.1f %.1f".formatted(sorted[sorted.length / 2] / 1e6, sorted[(int) (sorted.length * 0.99)] / 1e6);
    }
}
