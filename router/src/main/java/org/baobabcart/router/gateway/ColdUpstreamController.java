package org.baobabcart.router.gateway;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.upstream.Evacuations;
import org.baobabcart.policy.warmup.StartBudget;
import org.baobabcart.policy.warmup.StartPace;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.fleet.FleetMember;
import org.baobabcart.router.fleet.FleetNews;
import org.baobabcart.router.fleet.FleetView;
import org.baobabcart.router.upstream.ColdUpstreams;

/**
 * Tells {@link ColdUpstreams} which upstreams have just started, and which of them this router may send to. Confined to the control thread.
 *
 * <p>Without current registrations of the routers nothing is sent to cold upstreams.
 */
final class ColdUpstreamController implements Controller {
    /** Older registrations are no basis for sending. Longer than the time between two confirmations of the registrations. */
    static final Duration MAX_NEWS_AGE = Duration.ofSeconds(10);
    /** Registrations that other routers pass on may be this old when they arrive. */
    private static final Duration MAX_DELIVERY_AGE = Duration.ofSeconds(8);
    /**
     * How long this router has to have been registered. All routers that send have read their registrations since, so that each knows all the others.
     */
    static final Duration SETTLING =
            MAX_NEWS_AGE.plus(MAX_DELIVERY_AGE).plus(StartPace.WINDOW).plusSeconds(1);
    /** How often the age of the registrations is checked. */
    static final Duration TICK = Duration.ofMillis(250);
    /** A router whose control thread has not run for this long was paused and sends nothing until it runs again. */
    static final Duration MAX_PAUSE = Duration.ofSeconds(1);

    private final WarmUpTolerance tolerance;
    private final Blackboard blackboard;
    private final TimerService timers;
    private final FleetNews fleetNews;
    private final ColdUpstreams coldUpstreams;
    private final Map<String, ListedUpstream> listed = new HashMap<>();
    private boolean hasList;
    private Set<String> evacuated = Set.of();
    private long lastRunNanos;
    private long lastRunWallMillis;
    private Optional<Long> lastPauseNanos = Optional.empty();
    private Optional<TimerService.Subscription> ticks = Optional.empty();

    private ColdUpstreamController(
            WarmUpTolerance tolerance,
            Blackboard blackboard,
            TimerService timers,
            FleetNews fleetNews,
            ColdUpstreams coldUpstreams) {
        this.tolerance = tolerance;
        this.blackboard = blackboard;
        this.timers = timers;
        this.fleetNews = fleetNews;
        this.coldUpstreams = coldUpstreams;
        this.lastRunNanos = timers.nanoTime();
        this.lastRunWallMillis = timers.wallClockMillis();
    }

    /** Creates a controller that knows no upstreams. */
    static ColdUpstreamController create(
            WarmUpTolerance tolerance,
            Blackboard blackboard,
            TimerService timers,
            FleetNews fleetNews,
            ColdUpstreams coldUpstreams) {
        return new ColdUpstreamController(tolerance, blackboard, timers, fleetNews, coldUpstreams);
    }

    @Override
    public void start() {
        blackboard.subscribe(Sections.ROUTES, routes -> routes.ifPresent(this::applyTerms));
        blackboard.subscribe(Sections.EVACUATED, this::onEvacuations);
        blackboard.subscribe(Sections.FLEET, ignored -> follow());
        ticks = Optional.of(timers.every("cold-upstreams", TICK, this::tick));
    }

    @Override
    public Uni<Void> stop() {
        ticks.ifPresent(TimerService.Subscription::cancel);
        return Uni.createFrom().voidItem();
    }

    private void applyTerms(RouteTable table) {
        Map<String, ColdUpstreams.Terms> terms = new HashMap<>();
        table.warmUps()
                .forEach((service, warmUp) -> terms.put(
                        service,
                        new ColdUpstreams.Terms(
                                warmUp.duration(),
                                StartBudget.of(
                                        warmUp.requestsPerSecond(),
                                        tolerance.maxPerSecond(warmUp.requestsPerSecond())))));
        coldUpstreams.setTerms(terms);
    }

    /** Learns from a list of upstreams before requests can be sent by it. */
    void onListed(Collection<ListedUpstream> upstreams) {
        Set<String> names = new HashSet<>();
        for (ListedUpstream upstream : upstreams) {
            names.add(upstream.machine().name());
            ListedUpstream before = listed.put(upstream.machine().name(), upstream);
            if (before == null || !before.version().equals(upstream.version())) {
                learn(upstream, before);
            }
        }
        listed.keySet().retainAll(names);
        hasList = true;
    }

    private void learn(ListedUpstream upstream, ListedUpstream before) {
        VirtualMachine machine = upstream.machine();
        long now = timers.nanoTime();
        boolean isNew = before == null || before.machine().incarnation() != machine.incarnation();
        boolean tellsCold =
                upstream.remainingColdTime().filter(time -> !time.isZero()).isPresent();
        if (tellsCold) {
            coldUpstreams.markCold(machine, upstream.remainingColdTime().get(), "its entry in the list says so", now);
        } else if (isNew && (hasList || upstream.remainingColdTime().isEmpty())) {
            coldUpstreams.markPossiblyCold(machine, "its entry in the list is new", now);
        }
    }

    private void onEvacuations(Evacuations evacuations) {
        Set<String> returned = new HashSet<>(evacuated);
        returned.removeAll(evacuations.dataCentres());
        evacuated = evacuations.dataCentres();
        long now = timers.nanoTime();
        listed.values().stream()
                .map(ListedUpstream::machine)
                .filter(machine -> returned.contains(machine.dataCentre()))
                .forEach(machine -> coldUpstreams.markPossiblyCold(machine, "its data centre is in use again", now));
    }

    private void tick() {
        coldUpstreams.removeWarm(timers.nanoTime());
        follow();
    }

    private void follow() {
        FleetView view = blackboard.read(Sections.FLEET);
        long now = timers.nanoTime();
        notePause(now);
        long age = fleetNews.ageNanos();
        boolean isSettled =
                lastPauseNanos.filter(pause -> now - pause < SETTLING.toNanos()).isEmpty()
                        && view.members().stream()
                                .filter(member -> member.name().equals(view.self()))
                                .anyMatch(self -> now - self.sinceNanos() >= SETTLING.toNanos());
        boolean isCurrent = age >= 0 && age < MAX_NEWS_AGE.toNanos();
        List<StartBudget.Router> members = isSettled && isCurrent
                ? view.members().stream().map(ColdUpstreamController::router).toList()
                : List.of();
        long newsTime = isCurrent ? MAX_NEWS_AGE.toNanos() - age : 0;
        coldUpstreams.follow(
                new StartBudget.Router(view.self(), view.dataCentre()),
                members,
                now + Math.min(MAX_PAUSE.toNanos(), newsTime));
    }

    /**
     * What was received during a pause is read after it as if it were new, so this router has to settle again. The steady clock may stand still
     * while a machine is suspended.
     */
    private void notePause(long now) {
        long wallMillis = timers.wallClockMillis();
        boolean isPause =
                now - lastRunNanos >= MAX_PAUSE.toNanos() || wallMillis - lastRunWallMillis >= MAX_PAUSE.toMillis();
        if (isPause) {
            lastPauseNanos = Optional.of(now);
        }
        lastRunNanos = now;
        lastRunWallMillis = wallMillis;
    }

    private static StartBudget.Router router(FleetMember member) {
        return new StartBudget.Router(member.name(), member.dataCentre());
    }
}
