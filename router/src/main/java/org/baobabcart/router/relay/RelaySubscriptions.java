package org.baobabcart.router.relay;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.policy.hash.RendezvousHash;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.fleet.FleetController;
import org.baobabcart.router.fleet.FleetMember;
import org.baobabcart.router.fleet.FleetView;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * Keeps connections to the relays of the own data centre, unless this router is one of them. Confined to the control thread.
 *
 * <p>The relays are the first routers in rendezvous order. One that cannot be reached, turns this router away or falls silent is passed over for
 * a while, and the next of the order takes its place.
 */
final class RelaySubscriptions {
    /** The number of routers of a data centre that follow the store for the others. */
    static final int RELAYS = 2;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String DUTY = "relay";
    /** The number of routers of the order that are asked at most. */
    private static final int MAX_CANDIDATES = 8;

    private static final Duration INITIAL_RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(15);

    private final RelayNetwork network;
    private final TimerService timers;
    private final RandomGenerator random;
    private final RelayTiming timing;
    private final Timeline timeline;
    private final Runnable onNews;
    private final Map<String, Subscription> subscriptions = new LinkedHashMap<>();
    private final Map<String, Failure> failures = new HashMap<>();
    private List<FleetMember> candidates = List.of();
    private Set<FleetMember> expectedSubscribers = Set.of();
    private boolean relay;
    private boolean serving;
    private boolean stopped;
    private long events;

    /**
     * The failures of a router as a relay.
     *
     * @param count how many there were in a row
     * @param hasAnswered whether it has answered at the last one
     * @param retryNanos when it may be asked again
     */
    private record Failure(int count, boolean hasAnswered, long retryNanos) {}

    RelaySubscriptions(
            RelayNetwork network,
            TimerService timers,
            RandomGenerator random,
            RelayTiming timing,
            Timeline timeline,
            Runnable onNews) {
        this.network = network;
        this.timers = timers;
        this.random = random;
        this.timing = timing;
        this.timeline = timeline;
        this.onNews = onNews;
    }

    /** A connection to a relay and what it has told. */
    private final class Subscription implements RelayNetwork.Listener {
        private final String name;
        private final RelayedNews news = RelayedNews.create(timers.nanoTime());
        private RelayNetwork.Connection connection = () -> {};
        private boolean hasLines;

        private Subscription(String name) {
            this.name = name;
        }

        private boolean isCurrent() {
            return subscriptions.get(name) == this;
        }

        @Override
        public void onLine(byte[] line) {
            if (!isCurrent()) {
                return;
            }
            boolean isComplete;
            try {
                long before = news.events();
                isComplete = news.onLine(line, timers.nanoTime());
                events += news.events() - before;
            } catch (BaobabcartException invalid) {
                fail(this, invalid.getMessage(), true);
                return;
            }
            if (!hasLines) {
                hasLines = true;
                failures.remove(name);
                record(name, "followed", "");
            }
            if (isComplete) {
                onNews.run();
            }
        }

        @Override
        public void onClosed(String cause, boolean hasAnswered) {
            if (isCurrent()) {
                fail(this, cause, hasAnswered);
            }
        }
    }

    /** Takes a new view of the fleet. */
    void onFleet(FleetView view) {
        List<FleetMember> local = view.membersIn(view.dataCentre()).stream()
                .filter(member -> !member.address().isEmpty())
                .toList();
        boolean isShared = local.size() >= FleetController.MIN_SHARING_ROUTERS;
        List<FleetMember> order = isShared ? RendezvousHash.ranked(DUTY, local, FleetMember::name) : List.of();
        relay = order.stream().limit(RELAYS).anyMatch(member -> member.name().equals(view.self()));
        candidates = relay
                ? List.of()
                : order.stream()
                        .filter(member -> !member.name().equals(view.self()))
                        .limit(MAX_CANDIDATES)
                        .toList();
        expectedSubscribers = relay ? order.stream().skip(RELAYS).collect(Collectors.toSet()) : Set.of();
        update();
    }

    /** Notes whether others subscribe to this router, which then needs no relays. */
    void setServing(boolean nowServing) {
        serving = nowServing;
        update();
    }

    /** Drops relays that have fallen silent, and asks others. */
    void update() {
        if (stopped) {
            return;
        }
        long now = timers.nanoTime();
        List.copyOf(subscriptions.values()).stream()
                .filter(subscription -> isSilent(subscription.news, now))
                .forEach(subscription -> fail(subscription, "silent", false));
        List<FleetMember> eligible = serving ? List.of() : candidates;
        List<FleetMember> wanted = eligible.stream()
                .filter(member -> mayBeAsked(member.name(), now))
                .limit(RELAYS)
                .toList();
        wanted.forEach(this::subscribe);
        dropUnwanted(wanted.stream().map(FleetMember::name).toList());
    }

    private boolean mayBeAsked(String name, long now) {
        Failure failure = failures.get(name);
        return failure == null || now - failure.retryNanos() >= 0;
    }

    private void subscribe(FleetMember member) {
        if (!subscriptions.containsKey(member.name())) {
            Subscription subscription = new Subscription(member.name());
            subscriptions.put(member.name(), subscription);
            subscription.connection = network.connect(member.address(), subscription);
        }
    }

    /** Keeps a relay that is no longer wanted until all that are have sent something. */
    private void dropUnwanted(List<String> wanted) {
        boolean complete =
                wanted.stream().allMatch(name -> subscriptions.get(name) != null && subscriptions.get(name).hasLines);
        List.copyOf(subscriptions.values()).stream()
                .filter(subscription -> !wanted.contains(subscription.name) && complete)
                .forEach(subscription -> close(subscription, "not wanted"));
    }

    private boolean isSilent(RelayedNews news, long now) {
        return now - news.lastLineNanos() > timing.silenceLimit().toNanos();
    }

    private void fail(Subscription subscription, String cause, boolean hasAnswered) {
        long now = timers.nanoTime();
        Failure before = failures.get(subscription.name);
        int count = before == null ? 1 : before.count() + 1;
        long bound =
                Math.min(MAX_RETRY_DELAY.toNanos(), INITIAL_RETRY_DELAY.toNanos() << Math.min(count - 1, Byte.SIZE));
        long delay = bound / 2 + random.nextLong(bound / 2 + 1);
        failures.put(subscription.name, new Failure(count, hasAnswered, now + delay));
        close(subscription, cause);
        onNews.run();
    }

    private void close(Subscription subscription, String cause) {
        subscriptions.remove(subscription.name, subscription);
        subscription.connection.close();
        if (subscription.hasLines) {
            record(subscription.name, "lost", cause);
        } else {
            LOGGER.atFine().log("event=relay_not_reached relay=%s cause=%s", subscription.name, cause);
        }
    }

    private void record(String name, String state, String cause) {
        timeline.record(
                EventType.RELAY_CHANGED,
                EventFields.of(EventField.MEMBER, name)
                        .with(EventField.STATE, state)
                        .with(EventField.CAUSE, cause));
    }

    /** Closes all connections. */
    void stop() {
        stopped = true;
        List.copyOf(subscriptions.values()).forEach(subscription -> close(subscription, "stopped"));
    }

    /** Returns whether this router is one of those that follow the store for the others of its data centre. */
    boolean isRelay() {
        return relay;
    }

    /** Returns the routers of the data centre that subscribe to this one if it is a relay. */
    Set<FleetMember> expectedSubscribers() {
        return expectedSubscribers;
    }

    /** Returns whether this router is, or looks for, a relay. */
    boolean isSharing() {
        return relay || !candidates.isEmpty();
    }

    /** Returns what the relays have told that are not silent. */
    Collection<RelayedNews> news() {
        long now = timers.nanoTime();
        return subscriptions.values().stream()
                .filter(subscription -> subscription.hasLines && !isSilent(subscription.news, now))
                .map(subscription -> subscription.news)
                .toList();
    }

    /** Returns the number of events received from relays. */
    long events() {
        return events;
    }

    /** Returns the routers that were asked last without any answer. */
    Set<FleetMember> unreached() {
        return candidates.stream()
                .filter(member -> failures.containsKey(member.name())
                        && !failures.get(member.name()).hasAnswered())
                .collect(Collectors.toSet());
    }
}
