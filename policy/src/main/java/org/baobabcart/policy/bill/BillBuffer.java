package org.baobabcart.policy.bill;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.baobabcart.model.request.Bill;

/**
 * The bills that one router knows of: its own until the platform holds them, and those that it holds for others and
 * commits. Not thread-safe; it does no input or output.
 *
 * <p>The holder of a bill commits it. The router where it arose keeps its copy until it is told of the commit, and
 * offers it again whenever it has not been told for a while, so that a bill is lost only if both routers die. Offering
 * and committing twice does no harm, since a reader counts one bill for each request.
 */
public final class BillBuffer {
    /** Most own bills that are kept, and most that are held for others; more are declined. */
    public static final int MAX_BILLS = 100_000;

    /** Age in nanoseconds at which bills are committed though a segment is not full. */
    public static final long MAX_COMMIT_DELAY_NANOS = 1_000_000_000L;

    /** Time in nanoseconds after which a bill is replicated again if its commit was not reported. */
    public static final long REOFFER_NANOS = 10_000_000_000L;

    private static final int MAX_REMEMBERED_COMMITS = 20_000;

    private final Map<String, Bill> unreplicated = new LinkedHashMap<>();
    private final Map<String, ReplicatedBill> replicated = new LinkedHashMap<>();
    private final Map<String, HeldBill> held = new LinkedHashMap<>();
    private final Set<String> committed = new LinkedHashSet<>();
    private final Map<String, List<String>> releases = new HashMap<>();
    private Optional<BillSegment> pendingSegment = Optional.empty();

    /** An own bill that another router or the platform was said to hold. */
    private record ReplicatedBill(Bill bill, long atNanos) {}

    /** A bill held until it is committed, and the routers that keep a copy of it. */
    private record HeldBill(Bill bill, Set<String> origins, long sinceNanos) {}

    private BillBuffer() {}

    /** An empty book. */
    public static BillBuffer create() {
        return new BillBuffer();
    }

    /** Adds an own bill; false where there is no room, and then it is not kept. */
    public boolean add(Bill bill) {
        if (unreplicated.size() + replicated.size() >= MAX_BILLS) {
            return false;
        }
        unreplicated.put(bill.requestId(), bill);
        return true;
    }

    /** Own bills that no other router holds, to be replicated to one together. */
    public List<Bill> billsToOffer() {
        return unreplicated.values().stream().limit(BillSegment.MAX_BILLS).toList();
    }

    /** Another router holds these own bills now. */
    public void offerAccepted(Collection<Bill> bills, long nowNanos) {
        for (Bill bill : bills) {
            if (unreplicated.remove(bill.requestId()) != null) {
                replicated.put(bill.requestId(), new ReplicatedBill(bill, nowNanos));
            }
        }
    }

    /** Forgets own bills that the platform holds. */
    public int release(Collection<String> requestIds) {
        int count = 0;
        for (String requestId : requestIds) {
            boolean known = unreplicated.remove(requestId) != null | replicated.remove(requestId) != null;
            count += known ? 1 : 0;
        }
        return count;
    }

    /** Makes own bills whose commit was not reported for a while be replicated again. */
    public void requeueOverdueOffers(long nowNanos) {
        List<ReplicatedBill> due = replicated.values().stream()
                .takeWhile(entry -> nowNanos - entry.atNanos() >= REOFFER_NANOS)
                .toList();
        due.forEach(entry -> {
            replicated.remove(entry.bill().requestId());
            unreplicated.put(entry.bill().requestId(), entry.bill());
        });
    }

    /**
     * Holds bills until they are committed.
     *
     * @param origin the router that keeps a copy of them
     * @return how many are held; the rest were declined for lack of room
     */
    public int hold(String origin, Collection<Bill> bills, long nowNanos) {
        int count = 0;
        for (Bill bill : bills) {
            count += hold(origin, bill, nowNanos) ? 1 : 0;
        }
        return count;
    }

    /**
     * The segment to be created next, if there is one: the one whose fate is not known, or a new one if enough bills
     * wait or they have waited long enough.
     *
     * @param newName the name for a new segment, never used before
     * @param flush whether to commit whatever waits
     */
    public Optional<BillSegment> nextSegment(long nowNanos, String newName, boolean flush) {
        if (pendingSegment.isEmpty() && isCommitDue(nowNanos, flush)) {
            List<Bill> bills = held.values().stream()
                    .map(HeldBill::bill)
                    .limit(BillSegment.MAX_BILLS)
                    .toList();
            pendingSegment = Optional.of(new BillSegment(newName, bills));
        }
        return pendingSegment;
    }

    /** The platform holds the segment; those who keep copies are to be told. */
    public void segmentCommitted(BillSegment segment) {
        pendingSegment = pendingSegment.filter(current -> !current.equals(segment));
        for (Bill bill : segment.bills()) {
            HeldBill heldBill = held.remove(bill.requestId());
            if (heldBill != null) {
                heldBill.origins().forEach(origin -> addRelease(origin, bill.requestId()));
            }
            unreplicated.remove(bill.requestId());
            replicated.remove(bill.requestId());
            remember(bill.requestId());
        }
    }

    /** Takes the reports of commits that are due, by the router that is to get them. */
    public Map<String, List<String>> takeReleases() {
        Map<String, List<String>> taken = Map.copyOf(releases);
        releases.clear();
        return taken;
    }

    /** Treats the bills held for others as own ones, so that another router is asked to hold them. */
    public void requeueHeldBills() {
        held.values().forEach(heldBill -> unreplicated.put(heldBill.bill().requestId(), heldBill.bill()));
    }

    /** How many own bills no other router is known to hold. */
    public int unreplicatedCount() {
        return unreplicated.size();
    }

    /** How many bills wait here to be committed. */
    public int heldCount() {
        return held.size();
    }

    /** How many own bills wait for the report of their commit. */
    public int replicatedCount() {
        return replicated.size();
    }

    private boolean hold(String origin, Bill bill, long nowNanos) {
        if (committed.contains(bill.requestId())) {
            addRelease(origin, bill.requestId());
            return true;
        }
        HeldBill existing = held.get(bill.requestId());
        if (existing != null) {
            existing.origins().add(origin);
            return true;
        }
        if (held.size() >= MAX_BILLS) {
            return false;
        }
        Set<String> origins = new LinkedHashSet<>(Set.of(origin));
        held.put(bill.requestId(), new HeldBill(bill, origins, nowNanos));
        return true;
    }

    private boolean isCommitDue(long nowNanos, boolean flush) {
        if (held.isEmpty()) {
            return false;
        }
        long oldest = held.values().iterator().next().sinceNanos();
        return flush || held.size() >= BillSegment.MAX_BILLS || nowNanos - oldest >= MAX_COMMIT_DELAY_NANOS;
    }

    private void addRelease(String origin, String requestId) {
        releases.computeIfAbsent(origin, ignored -> new ArrayList<>()).add(requestId);
    }

    private void remember(String requestId) {
        committed.add(requestId);
        if (committed.size() > MAX_REMEMBERED_COMMITS) {
            committed.remove(committed.iterator().next());
        }
    }
}
