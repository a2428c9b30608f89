package org.baobabcart.router.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.baobabcart.model.gateway.CallerLimits;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.gateway.WarmUp;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.hash.RendezvousHash;
import org.baobabcart.policy.warmup.StartPace;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.fleet.FleetMember;
import org.baobabcart.router.fleet.FleetView;
import org.baobabcart.router.testing.ManualTimerService;
import org.baobabcart.router.testing.PausableTimers;
import org.baobabcart.router.upstream.ColdUpstreams;

/** Routers and the engines of a data centre that have all come back cold, in driven time. Counts as the engines do. */
final class ColdZone {
    static final WarmUp WARM_UP = new WarmUp(Duration.ofSeconds(3), 8.8);
    static final WarmUpTolerance TOLERANCE = new WarmUpTolerance(1.5, 5);
    static final int ENGINES = 47;
    private static final String SERVICE = "desk";
    private static final String ZONE = "zone-0";
    private static final int ZONES = 3;
    private static final Duration STEP = Duration.ofMillis(10);
    private static final Duration VIEW_PERIOD = Duration.ofSeconds(2);
    private static final Duration MAX_CONNECT = Duration.ofMillis(30);
    private static final int MAX_WAITING = 200;
    private static final double HOT_SHARE = 0.4;

    private final ManualTimerService timers = ManualTimerService.create();
    private final Random random;
    private final boolean isBudgeted;
    private final List<Router> routers = new ArrayList<>();
    private final Map<String, String> registrations = new TreeMap<>();
    private final List<VirtualMachine> engines = IntStream.range(0, ENGINES)
            .mapToObj(index -> new VirtualMachine(
                            "engine-" + index,
                            VirtualMachine.Role.SERVICE,
                            ZONE,
                            VirtualMachine.State.LIVE,
                            "http://127.0.0.1:80",
                            "",
                            "v1",
                            SERVICE)
                    .withCapacity(16, 1))
            .toList();
    /** The requests that arrived at each engine while it was cold. */
    private final Map<String, List<Long>> arrivals = new HashMap<>();

    private long coldUntilNanos;

    /** @param isBudgeted false for the policy without a budget, which sends to cold engines like to others */
    ColdZone(int routerCount, boolean isBudgeted, long seed) {
        this.random = new Random(seed);
        this.isBudgeted = isBudgeted;
        for (int index = 0; index < routerCount; index++) {
            routers.add(new Router("router-" + index, "zone-" + index % ZONES));
        }
    }

    List<Router> routers() {
        return routers;
    }

    void removeRegistration(Router router) {
        registrations.remove(router.name);
    }

    /** All engines return cold; each router learns it from the list within half a second. */
    void returnCold() {
        coldUntilNanos = timers.nanoTime() + WARM_UP.duration().toNanos();
        routers.forEach(router -> router.listDueNanos =
                timers.nanoTime() + random.nextLong(Duration.ofMillis(500).toNanos()));
    }

    /** Work arrives at the routers of the cold zone, of which a part is on one subject. */
    void run(Duration duration, double arrivalsPerSecond) {
        long end = timers.nanoTime() + duration.toNanos();
        List<Router> local = routers.stream()
                .filter(router -> router.dataCentre.equals(ZONE))
                .toList();
        double perStep =
                arrivalsPerSecond * STEP.toMillis() / Duration.ofSeconds(1).toMillis();
        while (timers.nanoTime() - end < 0) {
            timers.advance(STEP);
            for (double left = perStep; left > 0; left--) {
                if (random.nextDouble() < left) {
                    local.get(random.nextInt(local.size())).offer();
                }
            }
            routers.forEach(Router::step);
        }
    }

    int arrived() {
        return arrivals.values().stream().mapToInt(List::size).sum();
    }

    /** Returns the greatest number of requests of one engine in any second. */
    int mostInAnySecond() {
        return arrivals.values().stream()
                .mapToInt(ColdZone::mostInAnySecond)
                .max()
                .orElse(0);
    }

    private static int mostInAnySecond(List<Long> times) {
        int most = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) >= StartPace.WINDOW.toNanos()) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    private record Granted(VirtualMachine engine, long grantedNanos, long dueNanos) {}

    /** A router without its network. */
    final class Router {
        private final String name;
        private final String dataCentre;
        private final Blackboard blackboard = Blackboard.create();
        private final PausableTimers ownTimers = new PausableTimers(timers);
        private final ColdUpstreams cold = ColdUpstreams.create((type, request, fields) -> {});
        private final ColdUpstreamController controller;
        private final Map<String, Long> firstSeen = new HashMap<>();
        private final Deque<String> waiting = new ArrayDeque<>();
        private final List<Granted> granted = new ArrayList<>();
        private long newsNanos = Long.MIN_VALUE;
        private long viewDueNanos = random.nextLong(VIEW_PERIOD.toNanos());
        private long listDueNanos = Long.MAX_VALUE;
        private boolean isFrozen;
        private boolean isCutOff;

        private Router(String name, String dataCentre) {
            this.name = name;
            this.dataCentre = dataCentre;
            registrations.put(name, dataCentre);
            this.controller = ColdUpstreamController.create(TOLERANCE, blackboard, ownTimers, this::newsAge, cold);
            controller.start();
            if (isBudgeted) {
                RouteTable table = RouteTable.of(
                                1, List.of(), Map.of(), new CallerLimits(1, 1, Duration.ZERO, Duration.ZERO))
                        .withWarmUps(Map.of(SERVICE, WARM_UP));
                blackboard.write(Sections.ROUTES, Optional.of(table));
            }
            controller.onListed(listing("1", Duration.ZERO));
        }

        void setFrozen(boolean nowFrozen) {
            isFrozen = nowFrozen;
            ownTimers.setPaused(nowFrozen);
        }

        void setCutOff(boolean nowCutOff) {
            isCutOff = nowCutOff;
        }

        private long newsAge() {
            return newsNanos == Long.MIN_VALUE ? Long.MAX_VALUE : timers.nanoTime() - newsNanos;
        }

        private List<ListedUpstream> listing(String version, Duration remaining) {
            return engines.stream()
                    .map(engine -> new ListedUpstream(engine, Optional.of(remaining), version))
                    .toList();
        }

        private void offer() {
            if (waiting.size() < MAX_WAITING) {
                waiting.add(random.nextDouble() < HOT_SHARE ? "hot" : "subject-" + random.nextInt(1000));
            }
        }

        private void step() {
            if (isFrozen) {
                return;
            }
            long now = timers.nanoTime();
            if (!isCutOff && now - viewDueNanos >= 0) {
                readRegistrations(now);
            }
            if (now - listDueNanos >= 0) {
                listDueNanos = Long.MAX_VALUE;
                controller.onListed(listing("2", WARM_UP.duration()));
            }
            send(now);
            place(now);
        }

        private void readRegistrations(long now) {
            viewDueNanos = now + VIEW_PERIOD.toNanos();
            newsNanos = now;
            firstSeen.keySet().retainAll(registrations.keySet());
            List<FleetMember> members = registrations.entrySet().stream()
                    .map(entry -> new FleetMember(
                            entry.getKey(),
                            entry.getValue(),
                            "",
                            firstSeen.computeIfAbsent(entry.getKey(), ignored -> now)))
                    .toList();
            blackboard.write(Sections.FLEET, new FleetView(name, dataCentre, members));
        }

        private void send(long now) {
            Iterator<Granted> due = granted.iterator();
            while (due.hasNext()) {
                Granted slot = due.next();
                if (now - slot.dueNanos() >= 0) {
                    due.remove();
                    if (cold.confirm(slot.engine(), slot.grantedNanos(), now) && now < coldUntilNanos) {
                        arrivals.computeIfAbsent(slot.engine().name(), ignored -> new ArrayList<>())
                                .add(now);
                    }
                }
            }
        }

        private void place(long now) {
            for (int count = waiting.size(); count > 0; count--) {
                String subject = waiting.poll();
                Optional<VirtualMachine> engine = choose(subject, now);
                if (engine.isEmpty()) {
                    waiting.addFirst(subject);
                    return;
                }
                if (cold.tryTake(engine.get(), now)) {
                    granted.add(new Granted(engine.get(), now, now + random.nextLong(MAX_CONNECT.toNanos())));
                }
            }
        }

        private Optional<VirtualMachine> choose(String subject, long now) {
            List<VirtualMachine> open = engines.stream()
                    .filter(engine -> cold.availableFrom(engine, now).isEmpty())
                    .toList();
            return RendezvousHash.first(subject, open, VirtualMachine::name);
        }
    }
}
