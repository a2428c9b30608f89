package org.baobabcart.router.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabcart.model.gateway.CallerLimits;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.gateway.WarmUp;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.upstream.Evacuations;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.fleet.FleetMember;
import org.baobabcart.router.fleet.FleetView;
import org.baobabcart.router.testing.ManualTimerService;
import org.baobabcart.router.testing.PausableTimers;
import org.baobabcart.router.upstream.ColdUpstreams;
import org.junit.jupiter.api.Test;

class ColdUpstreamControllerTest {
    private static final Duration COLD_TIME = Duration.ofSeconds(3);
    private static final Optional<Duration> WARM = Optional.of(Duration.ZERO);
    private static final Optional<Duration> UNKNOWN = Optional.empty();

    private final ManualTimerService timers = ManualTimerService.create();
    private final PausableTimers ownTimers = new PausableTimers(timers);
    private final Blackboard blackboard = Blackboard.create();
    private final ColdUpstreams cold = ColdUpstreams.create((type, request, fields) -> {});
    private final ColdUpstreamController controller =
            ColdUpstreamController.create(new WarmUpTolerance(1.5, 5), blackboard, ownTimers, () -> 0, cold);

    ColdUpstreamControllerTest() {
        controller.start();
        declare(Map.of("desk", new WarmUp(COLD_TIME, 8.8)));
    }

    private void declare(Map<String, WarmUp> warmUps) {
        long version = blackboard.read(Sections.ROUTES).map(RouteTable::version).orElse(0L) + 1;
        blackboard.write(
                Sections.ROUTES,
                Optional.of(RouteTable.of(version, List.of(), Map.of(), new CallerLimits(1, 1, COLD_TIME, COLD_TIME))
                        .withWarmUps(warmUps)));
    }

    private void list(long incarnation, Optional<Duration> remaining, String version) {
        controller.onListed(List.of(new ListedUpstream(engine(incarnation), remaining, version)));
    }

    private static VirtualMachine engine(long incarnation) {
        return new VirtualMachine(
                        "engine",
                        VirtualMachine.Role.SERVICE,
                        "a",
                        VirtualMachine.State.LIVE,
                        "http://h:1",
                        "",
                        "",
                        "desk")
                .withCapacity(4, incarnation);
    }

    private boolean isCold() {
        return cold.isCold(engine(1), timers.nanoTime());
    }

    private void assertColdFor(Duration time) {
        timers.advance(time.minusMillis(1));
        assertThat(isCold(), is(true));
        timers.advance(Duration.ofMillis(2));
        assertThat(isCold(), is(false));
    }

    @Test
    void firstListIsBelieved() {
        list(1, WARM, "1");
        assertThat(isCold(), is(false));
    }

    @Test
    void entryOfTheFirstListThatTellsNothingIsTakenForCold() {
        list(1, UNKNOWN, "1");
        assertColdFor(COLD_TIME);
    }

    @Test
    void entryTellsOnceForEachVersion() {
        list(1, Optional.of(Duration.ofMillis(1_800)), "1");
        timers.advance(Duration.ofSeconds(1));
        list(1, Optional.of(Duration.ofMillis(1_800)), "1");
        assertColdFor(Duration.ofMillis(800));
        list(1, Optional.of(Duration.ofMillis(1_800)), "2");
        assertColdFor(Duration.ofMillis(1_800));
    }

    @Test
    void newEntriesAndIncarnationsAreCold() {
        controller.onListed(List.of());
        list(1, WARM, "1");
        assertColdFor(COLD_TIME);
        list(2, UNKNOWN, "2");
        assertColdFor(COLD_TIME);
        list(3, Optional.of(Duration.ofSeconds(1)), "3");
        assertColdFor(Duration.ofSeconds(1));
    }

    @Test
    void dataCentreThatIsTakenBackIsCold() {
        list(1, WARM, "1");
        blackboard.write(Sections.EVACUATED, Evacuations.none().withDataCentres(Set.of("a"), timers.nanoTime()));
        assertThat(isCold(), is(false));
        blackboard.write(Sections.EVACUATED, Evacuations.none());
        assertColdFor(COLD_TIME);
    }

    @Test
    void timeThatWasToldBeforeTheConfigurationDeclaresItCounts() {
        declare(Map.of());
        list(1, Optional.of(COLD_TIME), "1");
        assertThat(isCold(), is(false));
        declare(Map.of("desk", new WarmUp(COLD_TIME, 8.8)));
        assertColdFor(COLD_TIME);
    }

    @Test
    void pausedRouterSettlesAgain() {
        FleetMember self = new FleetMember("router", "a", "", timers.nanoTime());
        blackboard.write(Sections.FLEET, new FleetView("router", "a", List.of(self)));
        assertThat(maySend(), is(false));
        timers.advance(ColdUpstreamController.SETTLING);
        assertThat(maySend(), is(true));
        ownTimers.setPaused(true);
        timers.advance(ColdUpstreamController.MAX_PAUSE.multipliedBy(2));
        assertThat(maySend(), is(false));
        ownTimers.setPaused(false);
        timers.advance(ColdUpstreamController.SETTLING.minusSeconds(1));
        assertThat(maySend(), is(false));
        timers.advance(Duration.ofSeconds(2));
        assertThat(maySend(), is(true));
    }

    private boolean maySend() {
        cold.markCold(engine(1), COLD_TIME, "test", timers.nanoTime());
        return cold.availableFrom(engine(1), timers.nanoTime()).isEmpty();
    }
}
