package org.baobabcart.router.order;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.model.sheet.Placement;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.Members;
import org.baobabcart.router.testing.DisconnectableObjectStore;
import org.baobabcart.router.testing.InMemoryObjectStore;
import org.baobabcart.router.testing.ManualTimerService;
import org.baobabcart.router.testing.PausableTimers;
import org.baobabcart.router.testing.TestSheets;

/**
 * Routers of one data centre that share a platform and a clock, with engines that check fencing numbers and engines
 * that ignore them.
 */
final class OrderFleet {
    static final String DATA_CENTRE = "a";

    final ManualTimerService timers = ManualTimerService.create();
    final InMemoryObjectStore store = InMemoryObjectStore.create();
    final FakeEngines engines = new FakeEngines(timers);
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private int maximumHolders;

    record Node(
            String name,
            Blackboard blackboard,
            PausableTimers timers,
            DisconnectableObjectStore store,
            LeaseController leases,
            OrderController orders) {
        boolean mayAct() {
            return leases.mayAct();
        }
    }

    OrderFleet(int routers) {
        for (int index = 1; index <= routers; index++) {
            start("r" + index);
        }
        for (Node node : nodes.values()) {
            node.blackboard().write(Sections.MEMBERS, members(node));
        }
        engines.add("checking-1", "v1", true);
        engines.add("checking-2", "v1", true);
        engines.add("ignoring-1", "v1", false);
        engines.add("ignoring-2", "v1", false);
        advance(1);
    }

    void setPlacements(int firstCount, int secondCount) {
        List<Placement> placements = List.of(
                new Placement(DATA_CENTRE, "layout", "v1", firstCount),
                new Placement(DATA_CENTRE, "layout", "v2", secondCount));
        PublishedSheet published = new PublishedSheet(
                1, "publish", "test", 0, TestSheets.named("s").withPlacements(placements));
        nodes.values().forEach(node -> node.blackboard().write(Sections.SHEET, Optional.of(published)));
    }

    void advance(int seconds) {
        for (int index = 0; index < seconds; index++) {
            timers.advance(Duration.ofSeconds(1));
            nodes.values().forEach(node -> node.blackboard().write(Sections.VIRTUAL_MACHINES, engines.machines()));
            int holders = (int) nodes.values().stream().filter(Node::mayAct).count();
            maximumHolders = Math.max(maximumHolders, holders);
        }
    }

    int maximumHolders() {
        return maximumHolders;
    }

    Node holder() {
        return nodes.values().stream().filter(Node::mayAct).findFirst().orElseThrow();
    }

    boolean hasHolder() {
        return nodes.values().stream().anyMatch(Node::mayAct);
    }

    private void start(String name) {
        Blackboard blackboard = Blackboard.create();
        PausableTimers nodeTimers = new PausableTimers(timers);
        DisconnectableObjectStore nodeStore = DisconnectableObjectStore.of(store);
        OrderDependencies dependencies = new OrderDependencies(
                OrderSettings.defaults(),
                blackboard,
                Runnable::run,
                nodeTimers,
                nodeStore,
                (type, request, detail) -> {},
                new MetricRegistry());
        Member self = member(name);
        LeaseController leases = LeaseController.create(dependencies, self);
        OrderController orders = OrderController.create(dependencies, leases, engines, DATA_CENTRE);
        leases.start();
        orders.start();
        nodes.put(name, new Node(name, blackboard, nodeTimers, nodeStore, leases, orders));
    }

    private Members members(Node self) {
        List<Member> others = new ArrayList<>();
        nodes.keySet().stream().filter(name -> !name.equals(self.name())).forEach(name -> others.add(member(name)));
        return new Members(member(self.name()), others);
    }

    private static Member member(String name) {
        return new Member(name, 1, Member.State.ALIVE, DATA_CENTRE, "", "");
    }
}
