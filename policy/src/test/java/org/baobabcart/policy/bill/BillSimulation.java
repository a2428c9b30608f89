package org.baobabcart.policy.bill;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.baobabcart.model.request.Bill;

/**
 * Simulates a few routers with their bill buffers and a platform, in a random history of lost and late messages, lost
 * answers, outages and crashes.
 */
final class BillSimulation {
    private static final int NODES = 4;
    private static final int DRAIN_LIMIT = 20_000;

    /** Defects that can be injected to verify that the checker detects them. */
    enum Defect {
        NONE,
        TAKES_LOST_ANSWER_FOR_COMMIT,
        RELEASES_BEFORE_COMMIT,
        NO_REOFFER,
        COUNTS_EVERY_SEGMENT
    }

    /** Events that the simulated histories have to cover. */
    enum CoveredEvent {
        HELD_BY_PEER,
        COMMITTED,
        ANSWER_LOST,
        REQUEST_LOST,
        COMMITTED_TWICE,
        ORIGIN_CRASHED,
        HOLDER_CRASHED,
        LOST_WITH_ALL_HOLDERS
    }

    private record NodeIncarnation(int node, int incarnation) {}

    private record ScheduledEvent(NodeIncarnation target, Runnable action, Runnable ifTargetCrashed) {}

    private static final class Router {
        private int incarnation;
        private BillBuffer buffer = BillBuffer.create();
        private boolean offering;
        private boolean committing;
    }

    private final Random random;
    private final Defect defect;
    private final List<Router> routers = new ArrayList<>();
    private final List<ScheduledEvent> events = new ArrayList<>();
    private final Map<String, BillSegment> segments = new LinkedHashMap<>();
    private final Map<String, Set<NodeIncarnation>> copies = new LinkedHashMap<>();
    private final Map<CoveredEvent, Integer> coveredEvents = new EnumMap<>(CoveredEvent.class);
    private boolean outage;
    private boolean faultsDisabled;
    private long nowNanos;
    private int nextId;

    BillSimulation(long seed, Defect defect) {
        this.random = new Random(seed);
        this.defect = defect;
        for (int index = 0; index < NODES; index++) {
            routers.add(new Router());
        }
    }

    /** Runs a history and returns the violated guarantees, or an empty list. */
    List<String> run(int steps) {
        for (int step = 0; step < steps; step++) {
            step();
        }
        disableFaultsAndDrain();
        return violations();
    }

    Map<CoveredEvent, Integer> coveredEvents() {
        return coveredEvents;
    }

    private void step() {
        int node = random.nextInt(NODES);
        int roll = random.nextInt(100);
        if (roll < 20) {
            finishRequest(node);
        } else if (roll < 35) {
            offer(node);
        } else if (roll < 50) {
            commit(node);
        } else if (roll < 85) {
            deliver();
        } else if (roll < 92) {
            nowNanos += random.nextInt(3) == 0 ? BillBuffer.REOFFER_NANOS : BillBuffer.MAX_COMMIT_DELAY_NANOS / 2;
            requeueOverdue(node);
        } else if (roll < 95) {
            outage = !outage;
        } else if (roll < 97) {
            crash(node);
        }
    }

    private void disableFaultsAndDrain() {
        outage = false;
        faultsDisabled = true;
        for (int round = 0; round < DRAIN_LIMIT; round++) {
            int node = random.nextInt(NODES);
            nowNanos += BillBuffer.MAX_COMMIT_DELAY_NANOS / 10;
            requeueOverdue(node);
            offer(node);
            commit(node);
            deliver();
        }
    }

    private List<String> violations() {
        List<String> found = new ArrayList<>();
        Map<String, Integer> billed = new HashMap<>();
        Collection<Bill> bills = defect == Defect.COUNTS_EVERY_SEGMENT
                ? segments.values().stream()
                        .flatMap(segment -> segment.bills().stream())
                        .toList()
                : BillLedger.of(segments.values()).bills();
        bills.forEach(bill -> billed.merge(bill.requestId(), 1, Integer::sum));
        copies.forEach((requestId, holders) -> {
            int count = billed.getOrDefault(requestId, 0);
            if (count > 1) {
                found.add("billed twice: " + requestId);
            }
            if (count == 0 && holders.stream().anyMatch(this::isAlive)) {
                found.add("not billed although a holder is alive: " + requestId);
            }
            if (count == 0) {
                count(CoveredEvent.LOST_WITH_ALL_HOLDERS);
            }
        });
        return found;
    }

    private boolean isAlive(NodeIncarnation nodeIncarnation) {
        return routers.get(nodeIncarnation.node).incarnation == nodeIncarnation.incarnation;
    }

    private NodeIncarnation currentIncarnation(int node) {
        return new NodeIncarnation(node, routers.get(node).incarnation);
    }

    private void finishRequest(int node) {
        Bill bill = new Bill("r" + nextId++, "w", "m", "v", 1);
        routers.get(node).buffer.add(bill);
        copies.put(bill.requestId(), new HashSet<>(Set.of(currentIncarnation(node))));
    }

    private void offer(int node) {
        Router router = routers.get(node);
        List<Bill> bills = router.buffer.billsToOffer();
        if (router.offering || bills.isEmpty()) {
            return;
        }
        router.offering = true;
        int holder = (node + 1 + random.nextInt(NODES - 1)) % NODES;
        if (isLost()) {
            at(currentIncarnation(node), () -> offerUnanswered(node, bills));
            return;
        }
        NodeIncarnation origin = currentIncarnation(node);
        Runnable take = () -> {
            routers.get(holder).buffer.hold(String.valueOf(node), bills, nowNanos);
            bills.forEach(bill -> copies.get(bill.requestId()).add(currentIncarnation(holder)));
            if (isLost()) {
                at(origin, () -> offerUnanswered(node, bills));
            } else {
                at(origin, () -> offerHeld(node, bills));
            }
        };
        events.add(new ScheduledEvent(
                currentIncarnation(holder), take, () -> at(origin, () -> offerUnanswered(node, bills))));
    }

    private void offerHeld(int node, List<Bill> bills) {
        count(CoveredEvent.HELD_BY_PEER);
        Router router = routers.get(node);
        router.offering = false;
        router.buffer.offerAccepted(bills, nowNanos);
        if (defect == Defect.RELEASES_BEFORE_COMMIT) {
            router.buffer.release(bills.stream().map(Bill::requestId).toList());
        }
    }

    private void offerUnanswered(int node, List<Bill> bills) {
        Router router = routers.get(node);
        router.offering = false;
        if (random.nextBoolean()) {
            router.buffer.hold(String.valueOf(node), bills, nowNanos);
        }
    }

    private void commit(int node) {
        Router router = routers.get(node);
        if (router.committing) {
            return;
        }
        Optional<BillSegment> due = router.buffer.nextSegment(nowNanos, node + "-" + nextId++, random.nextInt(4) == 0);
        due.ifPresent(segment -> {
            router.committing = true;
            NodeIncarnation writer = currentIncarnation(node);
            platform(() -> create(writer, segment));
        });
    }

    private void create(NodeIncarnation writer, BillSegment segment) {
        if (outage) {
            at(writer, () -> routers.get(writer.node).committing = false);
            return;
        }
        if (isLost()) {
            count(CoveredEvent.REQUEST_LOST);
            at(writer, () -> outcomeUnknown(writer.node, segment));
            if (random.nextBoolean()) {
                platform(() -> segments.putIfAbsent(segment.name(), segment));
            }
            return;
        }
        if (segments.putIfAbsent(segment.name(), segment) == null) {
            count(CoveredEvent.COMMITTED);
            boolean isDuplicate = segments.values().stream()
                    .filter(other -> other != segment)
                    .flatMap(other -> other.bills().stream())
                    .anyMatch(segment.bills()::contains);
            if (isDuplicate) {
                count(CoveredEvent.COMMITTED_TWICE);
            }
        }
        if (isLost()) {
            count(CoveredEvent.ANSWER_LOST);
            at(writer, () -> outcomeUnknown(writer.node, segment));
        } else {
            at(writer, () -> committed(writer.node, segment));
        }
    }

    private void outcomeUnknown(int node, BillSegment segment) {
        if (defect == Defect.TAKES_LOST_ANSWER_FOR_COMMIT) {
            committed(node, segment);
        } else {
            routers.get(node).committing = false;
        }
    }

    private void committed(int node, BillSegment segment) {
        Router router = routers.get(node);
        router.committing = false;
        router.buffer.segmentCommitted(segment);
        sendReleases(node);
    }

    private void sendReleases(int node) {
        routers.get(node).buffer.takeReleases().forEach((origin, requestIds) -> {
            int target = Integer.parseInt(origin);
            if (!isLost()) {
                at(currentIncarnation(target), () -> routers.get(target).buffer.release(requestIds));
            }
        });
    }

    private void requeueOverdue(int node) {
        if (defect != Defect.NO_REOFFER) {
            routers.get(node).buffer.requeueOverdueOffers(nowNanos);
        }
        sendReleases(node);
    }

    private void crash(int node) {
        NodeIncarnation crashed = currentIncarnation(node);
        if (routers.get(node).buffer.replicatedCount() > 0) {
            count(CoveredEvent.ORIGIN_CRASHED);
        }
        if (routers.get(node).buffer.heldCount() > 0) {
            count(CoveredEvent.HOLDER_CRASHED);
        }
        Router restarted = new Router();
        restarted.incarnation = crashed.incarnation + 1;
        routers.set(node, restarted);
    }

    private void deliver() {
        if (events.isEmpty()) {
            return;
        }
        ScheduledEvent event = events.remove(random.nextInt(events.size()));
        if (event.target == null || isAlive(event.target)) {
            event.action.run();
        } else {
            event.ifTargetCrashed.run();
        }
    }

    private boolean isLost() {
        return !faultsDisabled && random.nextInt(8) == 0;
    }

    private void at(NodeIncarnation target, Runnable action) {
        events.add(new ScheduledEvent(target, action, () -> {}));
    }

    private void platform(Runnable action) {
        events.add(new ScheduledEvent(null, action, () -> {}));
    }

    private void count(CoveredEvent coveredEvent) {
        coveredEvents.merge(coveredEvent, 1, Integer::sum);
    }
}
