package org.baobabcart.router.fleet;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.baobabcart.model.platform.ObjectSnapshot;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.platform.InformerSettings;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * Registers this router in the platform's store and keeps {@link Sections#FLEET}. Confined to the control thread.
 *
 * <p>In a small data centre where no bound over all routers needs current registrations, they are only read from time to time, so that a small
 * deployment pays next to nothing. Otherwise they are followed.
 */
public final class FleetController implements Controller, FleetNews {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** The kind of the stored registrations; there is one object per router. */
    public static final String KIND = "routers";

    /** The number of routers in one data centre from which on sharing what is read from the store saves calls. */
    public static final int MIN_SHARING_ROUTERS = 6;

    /** When the registrations of routers that started together are complete. */
    private static final Duration FIRST_READ_DELAY = Duration.ofSeconds(1);

    private static final Duration SECOND_READ_DELAY = Duration.ofSeconds(5);
    private static final Duration READ_PERIOD = Duration.ofSeconds(30);

    private final FleetMember self;
    private final ObjectInformer.Dependencies dependencies;
    private final Blackboard blackboard;
    private final Timeline timeline;
    private final boolean alwaysFollows;
    private final FleetRegistration registration;
    private final ObjectInformer<FleetEntry> informer;
    private final Map<String, Long> firstSeenNanos = new HashMap<>();
    private volatile boolean isFollowing;
    private volatile boolean hasRead;
    private volatile long lastReadNanos;
    private boolean stopped;

    private FleetController(
            FleetMember self,
            ObjectInformer.Dependencies dependencies,
            Blackboard blackboard,
            Timeline timeline,
            boolean alwaysFollows) {
        this.self = self;
        this.dependencies = dependencies;
        this.blackboard = blackboard;
        this.timeline = timeline;
        this.alwaysFollows = alwaysFollows;
        String start = Long.toHexString(dependencies.random().nextLong());
        this.registration = FleetRegistration.create(
                self.name(), new FleetEntry(self.dataCentre(), self.address(), start), dependencies);
        this.informer = ObjectInformer.create(
                KIND, dependencies, InformerSettings.defaults(), FleetController::decode, this::onEntries);
    }

    /**
     * Creates a controller of a router that is not registered yet.
     *
     * @param address {@code host:port} at which other routers reach this one; empty if it accepts no calls of them
     * @param alwaysFollows whether some decision needs current registrations, however few routers there are
     */
    public static FleetController create(
            String name,
            String dataCentre,
            String address,
            ObjectInformer.Dependencies dependencies,
            Blackboard blackboard,
            Timeline timeline,
            boolean alwaysFollows) {
        FleetMember self =
                new FleetMember(name, dataCentre, address, dependencies.timers().nanoTime());
        return new FleetController(self, dependencies, blackboard, timeline, alwaysFollows);
    }

    @Override
    public void start() {
        registration.start();
        if (alwaysFollows) {
            follow();
        } else {
            readAfter(FIRST_READ_DELAY);
        }
    }

    @Override
    public Uni<Void> stop() {
        stopped = true;
        informer.stop();
        return Uni.createFrom().voidItem();
    }

    /** Removes this router's registration at the end of a planned stop; completes also if that fails. */
    public Uni<Void> leave() {
        return registration.end();
    }

    @Override
    public long ageNanos() {
        if (isFollowing && informer.isSynced()) {
            return informer.ageNanos();
        }
        return hasRead ? dependencies.timers().nanoTime() - lastReadNanos : NEVER;
    }

    private void follow() {
        isFollowing = true;
        informer.start();
    }

    private void readAfter(Duration delay) {
        long nanos = delay.toNanos() + dependencies.random().nextLong(delay.toNanos());
        dependencies.timers().after("fleet-read", Duration.ofNanos(nanos), this::read);
    }

    private void read() {
        if (!stopped) {
            dependencies
                    .store()
                    .snapshot(KIND)
                    .emitOn(dependencies.loop())
                    .subscribe()
                    .with(this::onRead, failure -> readAfter(FIRST_READ_DELAY));
        }
    }

    private void onRead(ObjectSnapshot snapshot) {
        Duration nextDelay = hasRead ? READ_PERIOD : SECOND_READ_DELAY;
        Map<String, FleetEntry> entries = new HashMap<>();
        for (StoredObject object : snapshot.objects()) {
            try {
                decode(object.requireReadable()).ifPresent(entry -> entries.put(object.name(), entry));
            } catch (BaobabcartException fault) {
                LOGGER.atWarning().log(
                        "event=registration_ignored name=%s cause=%s", object.name(), fault.getMessage());
            }
        }
        lastReadNanos = dependencies.timers().nanoTime();
        hasRead = true;
        onEntries(entries);
        FleetView view = blackboard.read(Sections.FLEET);
        if (view.membersIn(self.dataCentre()).size() >= MIN_SHARING_ROUTERS) {
            follow();
        } else {
            readAfter(nextDelay);
        }
    }

    private static Optional<FleetEntry> decode(StoredObject object) {
        return Optional.of(FleetEntry.of(object.spec()));
    }

    private void onEntries(Map<String, FleetEntry> entries) {
        long now = dependencies.timers().nanoTime();
        registration.onStored(Optional.ofNullable(entries.get(self.name())));
        firstSeenNanos.keySet().removeIf(name -> !entries.containsKey(name) && recordChange(name, "gone"));
        Stream<FleetMember> others = entries.entrySet().stream()
                .filter(entry -> !entry.getKey().equals(self.name()))
                .map(entry -> member(entry.getKey(), entry.getValue(), now));
        // This router is not registered while its entry is missing.
        long ownSinceNanos =
                entries.containsKey(self.name()) ? firstSeenNanos.computeIfAbsent(self.name(), ignored -> now) : now;
        FleetMember own = new FleetMember(self.name(), self.dataCentre(), self.address(), ownSinceNanos);
        List<FleetMember> members = Stream.concat(Stream.of(own), others)
                .sorted(Comparator.comparing(FleetMember::name))
                .toList();
        FleetView view = new FleetView(self.name(), self.dataCentre(), members);
        if (!view.equals(blackboard.read(Sections.FLEET))) {
            blackboard.write(Sections.FLEET, view);
        }
    }

    private FleetMember member(String name, FleetEntry entry, long now) {
        long since = firstSeenNanos.computeIfAbsent(name, ignored -> {
            recordChange(name, "registered");
            return now;
        });
        return new FleetMember(name, entry.dataCentre(), entry.address(), since);
    }

    /** Records a change of another router's registration; returns true. */
    private boolean recordChange(String name, String state) {
        timeline.record(
                EventType.MEMBER_CHANGED,
                EventFields.of(EventField.MEMBER, name).with(EventField.STATE, state));
        return true;
    }
}
