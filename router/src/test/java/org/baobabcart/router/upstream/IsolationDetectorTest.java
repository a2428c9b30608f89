package org.baobabcart.router.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.vertx.core.Future;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.router.testing.ManualTimerService;
import org.baobabcart.router.view.TrafficView;
import org.junit.jupiter.api.Test;

class IsolationDetectorTest {
    private static final long SEED = 6002;
    private static final int UPSTREAMS = 40;

    private final ManualTimerService timers = ManualTimerService.create();
    private final Set<String> reachable = new HashSet<>();
    private final Set<String> knownUnreachable = new HashSet<>();
    private final List<Boolean> changes = new ArrayList<>();
    private List<VirtualMachine> upstreams = IntStream.range(0, UPSTREAMS)
            .mapToObj(index -> upstream("upstream-" + index))
            .toList();
    private long lastActivityNanos = timers.nanoTime() - 1;
    private int connections;
    private final IsolationDetector detector = IsolationDetector.create(new IsolationDetector.Dependencies(
            Runnable::run,
            timers,
            new Random(SEED),
            () -> new TrafficView(Optional.empty(), RollOutState.empty(), upstreams, false),
            knownUnreachable::contains,
            this::connect,
            () -> lastActivityNanos,
            (type, request, fields) -> {}));

    IsolationDetectorTest() {
        detector.onChange(changes::add);
    }

    private static VirtualMachine upstream(String name) {
        return new VirtualMachine(
                name,
                VirtualMachine.Role.SERVICE,
                "a",
                VirtualMachine.State.LIVE,
                "http://127.0.0.1:1",
                "",
                "v1",
                "service");
    }

    private Future<Boolean> connect(VirtualMachine upstream) {
        connections++;
        return Future.succeededFuture(reachable.contains(upstream.name()));
    }

    private void fail(int index) {
        knownUnreachable.add("upstream-" + index);
        detector.upstreamUnreachable();
    }

    @Test
    void routerWhoseUpstreamsAllFailIsIsolatedUntilOneIsBack() {
        fail(0);
        assertThat(connections, is(0));
        fail(1);
        assertThat(detector.isIsolated(), is(true));
        upstreams.forEach(upstream -> reachable.add(upstream.name()));
        timers.advance(Duration.ofMillis(500));
        assertThat(detector.isIsolated(), is(false));
        assertThat(changes, is(List.of(true, false)));
    }

    @Test
    void routerThatReachesUpstreamsOfOtherServicesIsNotIsolated() {
        upstreams.stream().skip(UPSTREAMS / 2).forEach(upstream -> reachable.add(upstream.name()));
        fail(0);
        fail(1);
        assertThat(detector.isIsolated(), is(false));
    }

    /** All upstreams are so busy that they refuse further connections for a moment: turning away all callers would make it worse. */
    @Test
    void routerThatHearsFromUpstreamsIsNotIsolatedAtOnce() {
        lastActivityNanos = Long.MAX_VALUE;
        fail(0);
        fail(1);
        timers.advance(Duration.ofMillis(500));
        assertThat(detector.isIsolated(), is(false));
        upstreams.forEach(upstream -> reachable.add(upstream.name()));
        timers.advance(Duration.ofSeconds(5));
        assertThat(changes, is(List.of()));
    }

    /** Open connections outlived the partition, and the router changed its mind with every part of a stream that came on them. */
    @Test
    void openConnectionsThatOutliveAPartitionDoNotHideIt() {
        lastActivityNanos = Long.MAX_VALUE;
        fail(0);
        fail(1);
        timers.advance(Duration.ofSeconds(5));
        assertThat(changes, is(List.of(true)));
    }

    @Test
    void checkOpensABoundedNumberOfConnections() {
        fail(0);
        fail(1);
        assertThat(connections, lessThanOrEqualTo(16));
        timers.advance(Duration.ofSeconds(5));
        assertThat(connections, lessThanOrEqualTo(16 * 11));
    }

    /** Entries of upstreams that are down lapse, while those of upstreams out of reach stay. */
    @Test
    void routerWithoutListedUpstreamsIsNotIsolated() {
        fail(0);
        fail(1);
        upstreams = List.of();
        timers.advance(Duration.ofMillis(500));
        assertThat(detector.isIsolated(), is(false));
    }
}
