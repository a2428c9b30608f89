package org.baobabcart.policy.departure;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.baobabcart.policy.upstream.UpstreamCandidate;
import org.baobabcart.policy.upstream.UpstreamPolicy;

/**
 * Simulates the routers of three data centres and the instances of a service in virtual time. An instance executes as
 * many requests at once as it has places, and queues the others. Not thread-safe.
 */
final class DepartureReplay {
    static final List<String> DATA_CENTRES = List.of("a", "b", "c");
    static final double TARGET_MILLIS = 150;
    static final double DISTURBED_FROM_MILLIS = 20_000;
    static final double DISTURBED_TO_MILLIS = 35_000;
    static final int BUCKET_MILLIS = 1_000;
    private static final double END_MILLIS = 60_000;
    private static final int ROUTERS = 24;
    private static final int INSTANCES = 2;
    private static final int PLACES = 6;
    private static final double SERVICE_MILLIS = 20;
    private static final double WAY_MILLIS = 1;
    private static final double REQUESTS_PER_SECOND = 180;
    private static final double NANOS_PER_MILLI = 1e6;

    /** The rule that selects an instance. */
    enum Rule {
        /** Leaves the data centre when all local instances are full by the router's own count. */
        PREVIOUS,
        /** Leaves it by {@link DeparturePolicy}, too. */
        CURRENT
    }

    /** What happens in data centre {@code a}. */
    enum Load {
        EVEN,
        /** Its instances have a sixth of their places. */
        FEW_PLACES {
            @Override
            int places(String dataCentre) {
                return dataCentre.equals("a") ? 1 : PLACES;
            }
        },
        /** Its instances take fifteen times as long. */
        SLOW {
            @Override
            double serviceFactor(String dataCentre, double millis) {
                return isDisturbed(dataCentre, millis) ? 15 : 1;
            }
        },
        /** Its instances are not listed. */
        LOST {
            @Override
            boolean isListed(String dataCentre, double millis) {
                return !isDisturbed(dataCentre, millis);
            }
        },
        /** It has four times its requests, more than its places can bear. */
        BURST {
            @Override
            double rateFactor(String dataCentre, double millis) {
                return isDisturbed(dataCentre, millis) ? 4 : 1;
            }
        };

        int places(String dataCentre) {
            return PLACES;
        }

        double serviceFactor(String dataCentre, double millis) {
            return 1;
        }

        boolean isListed(String dataCentre, double millis) {
            return true;
        }

        double rateFactor(String dataCentre, double millis) {
            return 1;
        }

        private static boolean isDisturbed(String dataCentre, double millis) {
            return dataCentre.equals("a") && millis >= DISTURBED_FROM_MILLIS && millis < DISTURBED_TO_MILLIS;
        }
    }

    /** The requests of data centre {@code a}. */
    record Outcome(
            double timelyShare, double timelyShareElsewhere, double departedShare, List<Double> departedByBucket) {}

    private record Event(double millis, Runnable action) {}

    private final Rule rule;
    private final Load load;
    private final SplittableRandom random;
    private final UpstreamPolicy upstreamPolicy = UpstreamPolicy.of("router", Integer.MAX_VALUE);
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::millis));
    private final Map<String, Instance> instances = new TreeMap<>();
    private final Map<String, List<Router>> routers = new HashMap<>();
    private final Map<String, int[]> requestsByDataCentre = new HashMap<>();
    private final int[] sentByBucket = new int[(int) (END_MILLIS / BUCKET_MILLIS) + 1];
    private final int[] departedByBucket = new int[sentByBucket.length];
    private double nowMillis;

    private DepartureReplay(Rule rule, Load load, long seed) {
        this.rule = rule;
        this.load = load;
        this.random = new SplittableRandom(seed);
        for (String dataCentre : DATA_CENTRES) {
            for (int index = 0; index < INSTANCES; index++) {
                instances.put(dataCentre + index, new Instance(dataCentre));
            }
            routers.put(dataCentre, new ArrayList<>());
            for (int index = 0; index < ROUTERS; index++) {
                routers.get(dataCentre).add(new Router(dataCentre));
            }
            requestsByDataCentre.put(dataCentre, new int[2]);
        }
    }

    static Outcome run(Rule rule, Load load, long seed) {
        return new DepartureReplay(rule, load, seed).simulate(new SplittableRandom(seed + 1));
    }

    private Outcome simulate(SplittableRandom arrivals) {
        for (String dataCentre : DATA_CENTRES) {
            double millis = 0;
            while (millis < END_MILLIS) {
                double rate = REQUESTS_PER_SECOND * load.rateFactor(dataCentre, millis) / 1_000;
                millis += -Math.log(1 - arrivals.nextDouble()) / rate;
                double arrival = millis;
                Router router = routers.get(dataCentre).get(arrivals.nextInt(ROUTERS));
                double work = SERVICE_MILLIS * (0.5 + arrivals.nextDouble());
                events.add(new Event(arrival, () -> router.send(arrival, work)));
            }
        }
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowMillis = event.millis();
            event.action().run();
        }
        List<Double> shares = new ArrayList<>();
        for (int bucket = 0; bucket < sentByBucket.length; bucket++) {
            shares.add(departedByBucket[bucket] / (double) Math.max(1, sentByBucket[bucket]));
        }
        int[] elsewhere = new int[2];
        for (String dataCentre : List.of("b", "c")) {
            elsewhere[0] += requestsByDataCentre.get(dataCentre)[0];
            elsewhere[1] += requestsByDataCentre.get(dataCentre)[1];
        }
        return new Outcome(
                timelyShare(requestsByDataCentre.get("a")),
                timelyShare(elsewhere),
                Arrays.stream(departedByBucket).sum()
                        / (double) Arrays.stream(sentByBucket).sum(),
                shares);
    }

    private static double timelyShare(int[] timelyAndAll) {
        return timelyAndAll[0] / (double) timelyAndAll[1];
    }

    private final class Instance {
        private final String dataCentre;
        private final List<Runnable> queue = new ArrayList<>();
        private int running;

        private Instance(String dataCentre) {
            this.dataCentre = dataCentre;
        }

        private void arrive(double work, Runnable answered) {
            queue.add(() -> {
                running++;
                double end = nowMillis + work * load.serviceFactor(dataCentre, nowMillis);
                events.add(new Event(end, () -> {
                    running--;
                    answered.run();
                    startNext();
                }));
            });
            startNext();
        }

        private void startNext() {
            while (!queue.isEmpty() && running < load.places(dataCentre)) {
                queue.remove(0).run();
            }
        }
    }

    private final class Router {
        private final String dataCentre;
        private final PoolDepartures departures = PoolDepartures.create(0);
        private final Map<String, Integer> inFlight = new HashMap<>();

        private Router(String dataCentre) {
            this.dataCentre = dataCentre;
        }

        private void send(double millis, double work) {
            departures.observeTarget(TARGET_MILLIS * NANOS_PER_MILLI);
            Optional<String> chosen = choose(millis);
            int[] counts = requestsByDataCentre.get(dataCentre);
            counts[1]++;
            if (chosen.isEmpty()) {
                return;
            }
            Instance instance = instances.get(chosen.get());
            boolean departed = !instance.dataCentre.equals(dataCentre);
            if (dataCentre.equals("a")) {
                int bucket = Math.min(sentByBucket.length - 1, (int) (millis / BUCKET_MILLIS));
                sentByBucket[bucket]++;
                departedByBucket[bucket] += departed ? 1 : 0;
            }
            inFlight.merge(chosen.get(), 1, Integer::sum);
            double way = departed ? WAY_MILLIS : 0;
            events.add(new Event(
                    millis + way,
                    () -> instance.arrive(work, () -> {
                        double elapsed = nowMillis + way - millis;
                        inFlight.merge(chosen.get(), -1, Integer::sum);
                        departures.observeAnswer(instance.dataCentre, elapsed * NANOS_PER_MILLI, nanos(nowMillis));
                        counts[0] += elapsed <= TARGET_MILLIS ? 1 : 0;
                    })));
        }

        private Optional<String> choose(double millis) {
            Map<String, List<UpstreamCandidate>> byDataCentre = instances.entrySet().stream()
                    .filter(entry -> load.isListed(entry.getValue().dataCentre, millis))
                    .map(entry -> candidate(entry.getKey(), entry.getValue()))
                    .collect(Collectors.groupingBy(candidate -> instances.get(candidate.name()).dataCentre));
            if (rule == Rule.PREVIOUS) {
                List<UpstreamCandidate> all =
                        byDataCentre.values().stream().flatMap(List::stream).toList();
                return upstreamPolicy.choose(all, "", random::nextDouble).map(UpstreamCandidate::name);
            }
            List<DataCentreOutlook> outlooks = new ArrayList<>();
            byDataCentre.forEach((name, candidates) -> {
                int free = candidates.stream()
                        .mapToInt(candidate -> candidate.limit() - candidate.inFlight())
                        .sum();
                if (free > 0) {
                    outlooks.add(departures.outlook(name, dataCentre, free, nanos(millis)));
                }
            });
            return departures.order(outlooks, nanos(millis), random::nextDouble).stream()
                    .flatMap(name -> upstreamPolicy.choose(byDataCentre.get(name), "", random::nextDouble).stream())
                    .map(UpstreamCandidate::name)
                    .findFirst();
        }

        private UpstreamCandidate candidate(String name, Instance instance) {
            return new UpstreamCandidate(
                    name,
                    instance.dataCentre.equals(dataCentre),
                    inFlight.getOrDefault(name, 0),
                    PLACES,
                    Optional.empty(),
                    0,
                    0);
        }

        private long nanos(double millis) {
            return (long) (millis * NANOS_PER_MILLI);
        }
    }
}
