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
 * A few routers with their books and a platform, driven through a random history of lost and late messages, lost answers,
 * outages and crashes.
 */
final class BillSimulation {
    private static final int NODES = 4;
    private static final int DRAIN_LIMIT = 20_000;

    /** Decisions left out on purpose, so that the checker can be seen to find what they prevent. */
    enum Defect {
        NONE,
        TAKES_LOST_ANSWER_FOR_COMMIT,
        RELEASES_BEFORE_COMMIT,
        NO_RENEWAL,
        COUNTS_EVERY_SEGMENT
    }

    /** What happened, so that a test can see that the histories are worth their name. */
    enum Happening {
        HELD_BY_PEER,
        COMMITTED,
        ANSWER_LOST,
        REQUEST_LOST,
        COMMITTED_TWICE,
        CRASH_OF_ORIGIN,
        CRASH_OF_HOLDER,
        LOST_WITH_BOTH
    }

    private record Copy(int node, int life) {}

    private record Event(Copy target, Runnable action, Runnable whenDead) {}

    private static final class Router {
        private int life;
        private BillBuffer book = BillBuffer.create();
        private boolean offering;
        private boolean committing;
    }

    private final Random random;
    private final Defect defect;
    private final List<Router> routers = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private final Map<String, BillSegment> segments = new LinkedHashMap<>();
    private final Map<String, Set<Copy>> copies = new LinkedHashMap<>();
    private final Map<Happening, Integer> happenings = new EnumMap<>(Happening.class);
    private boolean outage;
    private boolean healed;
    private long nowNanos;
    private int nextId;

    BillSimulation(long seed, Defect defect) {
        this.random = new Random(seed);
        this.defect = defect;
        for (int index = 0; index < NODES; index++) {
            routers.add(new Router());
        }
    }

    /** Runs a history and returns what it broke; empty where all held. */
    List<String> run(int steps) {
        for (int step = 0; step < steps; step++) {
            step();
        }
        heal();
        return violations();
    }

    Map<Happening, Integer> happenings() {
        return happenings;
    }

    private void step() {
        int node = random.nextInt(NODES);
        int dice = random.nextInt(100);
        if (dice < 20) {
            finishRequest(node);
        } else if (dice < 35) {
            offer(node);
        } else if (dice < 50) {
            commit(node);
        } else if (dice < 85) {
            deliver();
        } else if (dice < 92) {
            nowNanos += random.nextInt(3) == 0 ? BillBuffer.REOFFER_NANOS : BillBuffer.MAX_COMMIT_DELAY_NANOS / 2;
            renew(node);
        } else if (dice < 95) {
            outage = !outage;
        } else if (dice < 97) {
            crash(node);
        }
    }

    private void heal() {
        outage = false;
        healed = true;
        for (int round = 0; round < DRAIN_LIMIT; round++) {
            int node = random.nextInt(NODES);
            nowNanos += BillBuffer.MAX_COMMIT_DELAY_NANOS / 10;
            renew(node);
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
            if (count == 0 && holders.stream().anyMatch(this::alive)) {
                found.add("not billed though a holder lives: " + requestId);
            }
            if (count == 0) {
                count(Happening.LOST_WITH_BOTH);
            }
        });
        return found;
    }

    private boolean alive(Copy copy) {
        return routers.get(copy.node).life == copy.life;
    }

    private Copy copy(int node) {
        return new Copy(node, routers.get(node).life);
    }

    private void finishRequest(int node) {
        Bill bill = new Bill("r" + nextId++, "w", "m", "v", 1);
        routers.get(node).book.add(bill);
        copies.put(bill.requestId(), new HashSet<>(Set.of(copy(node))));
    }

    private void offer(int node) {
        Router router = routers.get(node);
        List<Bill> bills = router.book.billsToOffer();
        if (router.offering || bills.isEmpty()) {
            return;
        }
        router.offering = true;
        int holder = (node + 1 + random.nextInt(NODES - 1)) % NODES;
        if (lost()) {
            at(copy(node), () -> unanswered(node, bills));
            return;
        }
        Copy origin = copy(node);
        Runnable take = () -> {
            routers.get(holder).book.hold(String.valueOf(node), bills, nowNanos);
            bills.forEach(bill -> copies.get(bill.requestId()).add(copy(holder)));
            if (lost()) {
                at(origin, () -> unanswered(node, bills));
            } else {
                at(origin, () -> held(node, bills));
            }
        };
        events.add(new Event(copy(holder), take, () -> at(origin, () -> unanswered(node, bills))));
    }

    private void held(int node, List<Bill> bills) {
        count(Happening.HELD_BY_PEER);
        Router router = routers.get(node);
        router.offering = false;
        router.book.offerAccepted(bills, nowNanos);
        if (defect == Defect.RELEASES_BEFORE_COMMIT) {
            router.book.release(bills.stream().map(Bill::requestId).toList());
        }
    }

    private void unanswered(int node, List<Bill> bills) {
        Router router = routers.get(node);
        router.offering = false;
        if (random.nextBoolean()) {
            router.book.hold(String.valueOf(node), bills, nowNanos);
        }
    }

    private void commit(int node) {
        Router router = routers.get(node);
        if (router.committing) {
            return;
        }
        Optional<BillSegment> due = router.book.nextSegment(nowNanos, node + "-" + nextId++, random.nextInt(4) == 0);
        due.ifPresent(segment -> {
            router.committing = true;
            Copy writer = copy(node);
            platform(() -> create(writer, segment));
        });
    }

    private void create(Copy writer, BillSegment segment) {
        if (outage) {
            at(writer, () -> routers.get(writer.node).committing = false);
            return;
        }
        if (lost()) {
            count(Happening.REQUEST_LOST);
            at(writer, () -> unknown(writer.node, segment));
            if (random.nextBoolean()) {
                platform(() -> segments.putIfAbsent(segment.name(), segment));
            }
            return;
        }
        if (segments.putIfAbsent(segment.name(), segment) == null) {
            count(Happening.COMMITTED);
            boolean again = segments.values().stream()
                    .filter(other -> other != segment)
                    .flatMap(other -> other.bills().stream())
                    .anyMatch(segment.bills()::contains);
            if (again) {
                count(Happening.COMMITTED_TWICE);
            }
        }
        if (lost()) {
            count(Happening.ANSWER_LOST);
            at(writer, () -> unknown(writer.node, segment));
        } else {
            at(writer, () -> committed(writer.node, segment));
        }
    }

    private void unknown(int node, BillSegment segment) {
        if (defect == Defect.TAKES_LOST_ANSWER_FOR_COMMIT) {
            committed(node, segment);
        } else {
            routers.get(node).committing = false;
        }
    }

    private void committed(int node, BillSegment segment) {
        Router router = routers.get(node);
        router.committing = false;
        router.book.segmentCommitted(segment);
        sendReleases(node);
    }

    private void sendReleases(int node) {
        routers.get(node).book.takeReleases().forEach((origin, requestIds) -> {
            int target = Integer.parseInt(origin);
            if (!lost()) {
                at(copy(target), () -> routers.get(target).book.release(requestIds));
            }
        });
    }

    private void renew(int node) {
        if (defect != Defect.NO_RENEWAL) {
            routers.get(node).book.requeueOverdueOffers(nowNanos);
        }
        sendReleases(node);
    }

    private void crash(int node) {
        Copy dead = copy(node);
        if (routers.get(node).book.replicatedCount() > 0) {
            count(Happening.CRASH_OF_ORIGIN);
        }
        if (routers.get(node).book.heldCount() > 0) {
            count(Happening.CRASH_OF_HOLDER);
        }
        Router fresh = new Router();
        fresh.life = dead.life + 1;
        routers.set(node, fresh);
    }

    private void deliver() {
        if (events.isEmpty()) {
            return;
        }
        Event event = events.remove(random.nextInt(events.size()));
        if (event.target == null || alive(event.target)) {
            event.action.run();
        } else {
            event.whenDead.run();
        }
    }

    private boolean lost() {
        return !healed && random.nextInt(8) == 0;
    }

    private void at(Copy target, Runnable action) {
        events.add(new Event(target, action, () -> {}));
    }

    private void platform(Runnable action) {
        events.add(new Event(null, action, () -> {}));
    }

    private void count(Happening happening) {
        happenings.merge(happening, 1, Integer::sum);
    }
}
