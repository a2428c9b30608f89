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
import java.util.Queue;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ObjectSnapshot;
import org.baobabcart.model.platform.StoredObject;

/**
 * Streams of two relays in any order of lost lines, broken connections, frozen, late, behind and restarted relays, merged by one subscriber: at every step it is
 * in the state that the store had at the subscriber's revision, and it either reaches the store's last revision or is told to read a list.
 */
class MergedChangesPropertyTest {
    private static final String KIND = "upstreams";
    private static final int NAMES = 4;
    private static final int RELAYS = 2;
    private static final Duration POLL = Duration.ofSeconds(1);

    /** The store with its whole history, in which a deletion bears the revision of the last state or its own. */
    private static final class Store {
        private final Random random;
        private final boolean deletionsBearLastState;
        private final List<ObjectEvent> events = new ArrayList<>();
        private final List<Map<String, Long>> states = new ArrayList<>(List.of(Map.of()));

        private Store(Random random) {
            this.random = random;
            this.deletionsBearLastState = random.nextBoolean();
        }

        private int revision() {
            return states.size() - 1;
        }

        private Map<String, Long> state(long revision) {
            return states.get((int) revision);
        }

        private void change() {
            Map<String, Long> state = new HashMap<>(state(revision()));
            long next = revision() + 1;
            String name = "upstream-" + random.nextInt(NAMES);
            Long known = state.get(name);
            if (known != null && random.nextBoolean()) {
                state.remove(name);
                events.add(event(ObjectEvent.Type.DELETED, name, deletionsBearLastState ? known : next));
            } else {
                state.put(name, next);
                events.add(event(ObjectEvent.Type.MODIFIED, name, next));
            }
            states.add(state);
        }

        private static ObjectEvent event(ObjectEvent.Type type, String name, long revision) {
            return new ObjectEvent(type, object(name, revision));
        }

        private static StoredObject object(String name, long revision) {
            return new StoredObject(KIND, name, Long.toString(revision), JsonNodeFactory.instance.objectNode());
        }

        private ObjectSnapshot snapshot() {
            return new ObjectSnapshot(
                    state(revision()).entrySet().stream()
                            .map(entry -> object(entry.getKey(), entry.getValue()))
                            .toList(),
                    Long.toString(revision()));
        }
    }

    /** A relay and the subscriber's connection to it. */
    private static final class Relay {
        private final Store store;
        private RelaySource source;
        private long position;
        private Queue<byte[]> lines = new ArrayDeque<>();
        private RelayedNews news = RelayedNews.create(0);

        private Relay(Store store) {
            this.store = store;
            restart(0);
        }

        /** Starts the relay anew at a revision, also one that is older than what it told before. */
        private void restart(long revision) {
            source = RelaySource.create(() -> 0);
            position = revision;
            source.begin(KIND, revision, 0);
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

        /** Polls the store, whose answer may hold only a part of the changes. */
        private void poll(long upTo) {
            List<ObjectEvent> events = store.events.subList((int) position, (int) Math.max(position, upTo));
            position = Math.max(position, upTo);
            source.onAnswer(KIND, position, List.copyOf(events), POLL);
            source.sendAges();
        }

        /** The relay's own watch broke, and it read a list. */
        private void readList() {
            position = store.revision();
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
        private final Map<String, Long> state = new HashMap<>();

        private Subscriber(Store store) {
            this.store = store;
            readList();
        }

        private void readList() {
            state.clear();
            state.putAll(store.state(store.revision()));
            changes.start(store.snapshot());
            changes.continueAt(store.revision());
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
                Long before = state.put(event.object().name(), Revisions.number(event.object()));
                assertThat(before == null || before < Revisions.number(event.object()), is(true));
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
            switch (random.nextInt(10)) {
                case 0, 1, 2 -> store.change();
                case 3, 4 -> relay.poll(relay.position + random.nextInt(store.revision() + 1 - (int) relay.position));
                case 5, 6 -> relay.deliver(1 + random.nextInt(5));
                case 7 -> relay.connect();
                case 8 -> relay.readList();
                default -> relay.restart(random.nextInt(store.revision() + 1));
            }
            subscriber.take(relay.news);
            if (relays.stream().noneMatch(each -> each.news.continues(KIND, subscriber.changes.position()))) {
                subscriber.readList();
            }
        }
        for (Relay relay : relays) {
            relay.poll(store.revision());
            relay.deliver(relay.lines.size());
            subscriber.take(relay.news);
        }
        boolean isTold = relays.stream().anyMatch(each -> each.news.continues(KIND, subscriber.changes.position()));
        assertThat(!isTold || subscriber.changes.position() == store.revision(), is(true));
    }
}
