package org.baobabcart.router.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Random;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ObjectSnapshot;
import org.baobabcart.model.platform.ResourceVersion;
import org.baobabcart.model.platform.StoredObject;

/**
 * Streams of two relays in any order of lost lines, broken connections, frozen, late, behind and restarted relays and of a store that comes back from an older
 * copy, merged by one subscriber: at every step it is in the state that the store had at the subscriber's revision, and it either reaches the store's last revision or is told to read a list.
 */
class MergedChangesPropertyTest {
    private static final String KIND = "upstreams";
    private static final int NAMES = 4;
    private static final int RELAYS = 2;
    private static final Duration POLL = Duration.ofSeconds(1);

    /**
     * The store with its whole history, in which a deletion bears the revision of the last state or its own. Each state of an object has a content of
     * its own, while a store that comes back from an older copy gives revisions out again.
     */
    private static final class Store {
        private final Random random;
        private final boolean deletionsBearLastState;
        private final List<List<Map<String, StoredObject>>> eras = new ArrayList<>();
        private List<ObjectEvent> events = new ArrayList<>();
        private List<Map<String, StoredObject>> states = new ArrayList<>(List.of(Map.of()));
        private int contents;

        private Store(Random random) {
            this.random = random;
            this.deletionsBearLastState = random.nextBoolean();
            eras.add(states);
        }

        private int revision() {
            return states.size() - 1;
        }

        private ResourceVersion version() {
            return version(revision());
        }

        private ResourceVersion version(long revision) {
            return new ResourceVersion(OptionalLong.of(eras.size()), revision);
        }

        private Map<String, Integer> state(ResourceVersion version) {
            Map<String, StoredObject> state =
                    eras.get((int) version.era().orElseThrow() - 1).get((int) version.revision());
            return state.entrySet().stream()
                    .collect(Collectors.toMap(Map.Entry::getKey, entry -> content(entry.getValue())));
        }

        private static int content(StoredObject object) {
            return object.spec().path("content").asInt();
        }

        private void change() {
            Map<String, StoredObject> state = new HashMap<>(states.get(revision()));
            long next = revision() + 1;
            String name = "upstream-" + random.nextInt(NAMES);
            StoredObject known = state.get(name);
            if (known != null && random.nextBoolean()) {
                state.remove(name);
                events.add(new ObjectEvent(
                        ObjectEvent.Type.DELETED,
                        deletionsBearLastState
                                ? known
                                : known.withResourceVersion(version(next).text())));
            } else {
                StoredObject object = new StoredObject(
                        KIND,
                        name,
                        version(next).text(),
                        JsonNodeFactory.instance.objectNode().put("content", ++contents));
                state.put(name, object);
                events.add(new ObjectEvent(ObjectEvent.Type.MODIFIED, object));
            }
            states.add(state);
        }

        /** Loses what was changed since a revision, and begins another era. */
        private void restore(int revision) {
            List<Map<String, StoredObject>> kept = new ArrayList<>(states.subList(0, revision + 1));
            events = new ArrayList<>(events.subList(0, revision));
            states = kept;
            eras.add(states);
        }

        private ObjectSnapshot snapshot() {
            List<StoredObject> objects = states.get(revision()).values().stream()
                    .map(object -> object.withResourceVersion(
                            version(ResourceVersion.of(object).revision()).text()))
                    .toList();
            return new ObjectSnapshot(objects, version().text());
        }
    }

    /** A relay and the subscriber's connection to it. */
    private static final class Relay {
        private final Store store;
        private RelaySource source;
        private ResourceVersion position;
        private Queue<byte[]> lines = new ArrayDeque<>();
        private RelayedNews news = RelayedNews.create(0);

        private Relay(Store store) {
            this.store = store;
            restart(0);
        }

        /** Starts the relay anew at a revision, also one that is older than what it told before. */
        private void restart(long revision) {
            source = RelaySource.create(() -> 0);
            position = store.version(revision);
            source.begin(KIND, position, 0);
            connect();
        }

        private void connect() {
            Queue<byte[]> sent = new ArrayDeque<>();
            lines = sent;
            news = RelayedNews.create(0);
            source.add(new RelaySource.Subscriber() {
                @Override
                public void end() {}

                @Override
                public String router() {
                    return "subscriber";
                }

                @Override
                public void send(Buffer buffer) {
                    List.of(buffer.toString().split("\n"))
                            .forEach(line -> sent.add(line.getBytes(StandardCharsets.UTF_8)));
                }
            });
        }

        /** Polls the store, whose answer may hold only a part of the changes; it answers no poll from another era. */
        private void poll(double share) {
            if (!position.isSameEra(store.version())) {
                readList();
                return;
            }
            int from = (int) position.revision();
            int upTo = from + (int) Math.round(share * (store.revision() - from));
            position = position.withRevision(upTo);
            source.onAnswer(KIND, position, List.copyOf(store.events.subList(from, upTo)), POLL);
            source.sendAges();
        }

        /** The relay's own watch broke, and it read a list. */
        private void readList() {
            position = store.version();
            source.begin(KIND, position, 1);
        }

        private void deliver(int count) {
            for (int index = 0; index < count && !lines.isEmpty(); index++) {
                news.onLine(lines.remove(), 0);
            }
        }
    }

    /** A subscriber whose state is made of a list and the changes that it takes. */
    private static final class Subscriber {
        private final Store store;
        private final FollowedChanges changes = new FollowedChanges();
        private final Map<String, Integer> state = new HashMap<>();

        private Subscriber(Store store) {
            this.store = store;
            readList();
        }

        private void readList() {
            state.clear();
            state.putAll(store.state(store.version()));
            changes.start(store.snapshot());
            changes.continueAt(store.version());
        }

        private void take(RelayedNews news) {
            Optional<ChangeLog> log = news.log(KIND, changes.position());
            if (log.isPresent()) {
                changes.take(log.get()).forEach(this::apply);
            }
            assertThat(state, is(store.state(changes.position())));
        }

        private void apply(ObjectEvent event) {
            if (event.type() == ObjectEvent.Type.DELETED) {
                state.remove(event.object().name());
            } else {
                Integer before = state.put(event.object().name(), Store.content(event.object()));
                assertThat(before == null || before < Store.content(event.object()), is(true));
            }
        }
    }

    @Property(tries = 1_000, seed = "4703")
    void mergedStreamsFollowTheStore(@ForAll long seed, @ForAll @IntRange(min = 10, max = 150) int steps) {
        Random random = new Random(seed);
        Store store = new Store(random);
        List<Relay> relays = List.of(new Relay(store), new Relay(store));
        Subscriber subscriber = new Subscriber(store);
        for (int step = 0; step < steps; step++) {
            Relay relay = relays.get(random.nextInt(RELAYS));
            switch (random.nextInt(11)) {
                case 0, 1, 2 -> store.change();
                case 3, 4 -> relay.poll(random.nextDouble());
                case 5, 6 -> relay.deliver(1 + random.nextInt(5));
                case 7 -> relay.connect();
                case 8 -> relay.readList();
                case 9 -> store.restore(random.nextInt(store.revision() + 1));
                default -> relay.restart(random.nextInt(store.revision() + 1));
            }
            subscriber.take(relay.news);
            if (relays.stream().noneMatch(each -> each.news.continues(KIND, subscriber.changes.position()))) {
                subscriber.readList();
            }
        }
        for (Relay relay : relays) {
            relay.poll(1);
            relay.deliver(relay.lines.size());
            subscriber.take(relay.news);
        }
        boolean isTold = relays.stream().anyMatch(each -> each.news.continues(KIND, subscriber.changes.position()));
        assertThat(!isTold || subscriber.changes.position().equals(store.version()), is(true));
    }
}
