package org.baobabcart.router.relay;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.baobabcart.model.platform.ResourceVersion;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.fleet.FleetController;
import org.baobabcart.router.platform.InformerSettings;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.testing.ManualTimerService;

/** Routers with the real informers, relays and registrations in driven time, on links to a store and to each other that can fail. */
final class RelayFleet {
    static final Duration BOUND = Duration.ofSeconds(2);
    static final String KIND = "config";
    /** More than an answer that is on its way when a link is cut takes. */
    static final int LATENCY_MILLIS = 10;

    private static final List<String> KINDS = List.of(KIND, "upstreams", "orders");
    private static final String TURNED_AWAY = "turned away";
    private static final Duration HOP = Duration.ofMillis(1);

    final ManualTimerService timers = ManualTimerService.create();
    final PolledStore store = new PolledStore(timers);
    private final Vertx vertx;
    private final Map<String, Node> nodes = new HashMap<>();

    RelayFleet(Vertx vertx) {
        this.vertx = vertx;
    }

    /** Starts routers that are spread over three data centres. */
    List<Node> start(int routers) {
        List<Node> started = new ArrayList<>();
        for (int index = 0; index < routers; index++) {
            started.add(start("router-" + index, "dc-" + index % 3));
        }
        return started;
    }

    Node start(String name, String dataCentre) {
        Node node = new Node(name, dataCentre);
        nodes.put(name, node);
        node.begin();
        return node;
    }

    void advance(Duration duration) {
        timers.advance(duration);
    }

    /** A router. While frozen, whatever reaches it waits until it wakes. */
    final class Node {
        final String name;
        final PolledStore.Link link = store.link();
        private final Blackboard blackboard = Blackboard.create();
        private final Queue<Runnable> held = new ArrayDeque<>();
        private final List<LocalConnection> inbound = new ArrayList<>();
        private final RelayController relay;
        private final FleetController fleet;
        private final List<ObjectInformer<StoredObject>> informers = new ArrayList<>();
        private final Map<String, Map<String, StoredObject>> objects = new HashMap<>();
        private final Random random;
        private boolean frozen;
        private boolean dead;
        private boolean isolated;
        long regressions;

        private Node(String name, String dataCentre) {
            this.name = name;
            this.random = new Random(name.hashCode());
            NodeTimers nodeTimers = new NodeTimers(this);
            RelayController.Dependencies dependencies = new RelayController.Dependencies(
                    vertx,
                    link,
                    this::run,
                    nodeTimers,
                    random,
                    blackboard,
                    (type, request, fields) -> {},
                    new MetricRegistry());
            RelayTiming timing = new RelayTiming(BOUND, Set.of("orders", FleetController.KIND));
            relay = new RelayController(dependencies, timing, new LocalNetwork(this));
            ObjectInformer.Dependencies following = new ObjectInformer.Dependencies(
                    relay.store(), this::run, nodeTimers, random, (type, request, fields) -> {}, new MetricRegistry());
            fleet = FleetController.create(
                    name, dataCentre, name + ":1", following, blackboard, (type, request, fields) -> {}, false);
            KINDS.forEach(kind -> informers.add(ObjectInformer.create(
                    kind, following, InformerSettings.defaults(), Optional::of, values -> onObjects(kind, values))));
        }

        private void begin() {
            run(() -> {
                informers.forEach(ObjectInformer::start);
                fleet.start();
                relay.start();
            });
        }

        private void onObjects(String kind, Map<String, StoredObject> values) {
            Map<String, StoredObject> before = objects.put(kind, values);
            values.forEach((objectName, object) -> {
                StoredObject earlier = before == null ? null : before.get(objectName);
                if (earlier != null
                        && ResourceVersion.of(earlier).revision()
                                > ResourceVersion.of(object).revision()) {
                    regressions++;
                }
            });
        }

        void run(Runnable task) {
            if (frozen) {
                held.add(task);
            } else if (!dead) {
                task.run();
            }
        }

        void setFrozen(boolean nowFrozen) {
            frozen = nowFrozen;
            while (!frozen && !held.isEmpty()) {
                run(held.remove());
            }
        }

        /** Ends the process; its connections are reset. */
        void kill() {
            dead = true;
            link.setRefused(true);
            List.copyOf(inbound).forEach(connection -> connection.reset("killed"));
        }

        /** Cuts the router off from the store and from all others: nothing arrives and nothing is reset. */
        void setIsolated(boolean nowIsolated) {
            isolated = nowIsolated;
            link.setCut(nowIsolated);
        }

        long fleetAgeNanos() {
            return fleet.ageNanos();
        }

        boolean isRelay() {
            return relay.isRelay();
        }

        int relayedKinds() {
            return relay.relayedKinds();
        }

        int value(String objectName) {
            StoredObject object = objects.getOrDefault(KIND, Map.of()).get(objectName);
            return object == null ? -1 : object.spec().path("value").asInt();
        }

        boolean agreesWithStore() {
            return KINDS.stream()
                    .allMatch(kind -> List.copyOf(
                                    objects.getOrDefault(kind, Map.of()).values())
                            .stream()
                            .map(StoredObject::resourceVersion)
                            .sorted()
                            .toList()
                            .equals(store.list(kind).stream()
                                    .map(StoredObject::resourceVersion)
                                    .sorted()
                                    .toList()));
        }
    }

    /** The network as a router sees it. */
    private final class LocalNetwork implements RelayNetwork {
        private final Node from;

        private LocalNetwork(Node from) {
            this.from = from;
        }

        @Override
        public Connection connect(String address, Listener listener) {
            LocalConnection connection = new LocalConnection(from, node(address), listener);
            timers.after("connect", HOP, connection::open);
            return connection;
        }

        @Override
        public void probe(String address, Consumer<Boolean> onResult) {
            Node to = node(address);
            boolean answers = !to.dead && !to.frozen && !to.isolated && !from.isolated;
            timers.after("probe", HOP, () -> from.run(() -> onResult.accept(answers)));
        }

        private Node node(String address) {
            return nodes.get(address.substring(0, address.indexOf(':')));
        }
    }

    /** A connection between two routers. */
    private final class LocalConnection implements RelayNetwork.Connection, RelaySource.Subscriber {
        private final Node from;
        private final Node to;
        private final RelayNetwork.Listener listener;
        private boolean closed;

        private LocalConnection(Node from, Node to, RelayNetwork.Listener listener) {
            this.from = from;
            this.to = to;
            this.listener = listener;
        }

        private boolean isCut() {
            return from.isolated || to.isolated;
        }

        private void open() {
            if (to.dead) {
                reset("refused");
            } else if (!isCut()) {
                to.inbound.add(this);
                to.run(() -> {
                    if (!closed && !to.relay.accept(this)) {
                        reset(TURNED_AWAY);
                    }
                });
            }
        }

        private void reset(String cause) {
            if (!closed) {
                close();
                timers.after("reset", HOP, () -> from.run(() -> listener.onClosed(cause, cause.equals(TURNED_AWAY))));
            }
        }

        @Override
        public void end() {
            reset("ended");
        }

        @Override
        public String router() {
            return from.name;
        }

        @Override
        public void send(Buffer lines) {
            byte[][] split = split(lines);
            timers.after("line", HOP, () -> {
                if (!closed && !isCut()) {
                    for (byte[] line : split) {
                        from.run(() -> listener.onLine(line));
                    }
                }
            });
        }

        private byte[][] split(Buffer lines) {
            return List.of(lines.toString().split("\n")).stream()
                    .map(line -> line.getBytes(java.nio.charset.StandardCharsets.UTF_8))
                    .toArray(byte[][]::new);
        }

        @Override
        public void close() {
            closed = true;
            to.inbound.remove(this);
            if (!to.dead) {
                to.run(() -> to.relay.remove(this));
            }
        }
    }

    /** The timers of a router, which hold back what is due while it is frozen. */
    private final class NodeTimers implements TimerService {
        private final Node node;

        private NodeTimers(Node node) {
            this.node = node;
        }

        @Override
        public long nanoTime() {
            return timers.nanoTime();
        }

        @Override
        public long wallClockMillis() {
            return timers.wallClockMillis();
        }

        @Override
        public Subscription every(String name, Duration period, Runnable subscriber) {
            return timers.every(name, period, () -> node.run(subscriber));
        }

        @Override
        public Subscription after(String name, Duration delay, Runnable subscriber) {
            return timers.after(name, delay, () -> node.run(subscriber));
        }
    }
}
