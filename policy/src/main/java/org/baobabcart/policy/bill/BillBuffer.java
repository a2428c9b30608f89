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
 * Buffers the bills of one router: its own until the platform stores them, and those that it holds for other routers
 * and commits. Not thread-safe; performs no input or output.
 *
 * <p>The holder of a bill commits it. The router that created the bill keeps a copy until the commit is reported, and
 * offers the bill again if no report arrives for some time, so that a bill is lost only if both routers fail. Offering
 * or committing a bill twice is harmless, since readers count one bill per request.
 */
public final class BillBuffer {
    /** The maximum number of own bills, and of bills held for other routers; further bills are rejected. */
    public static final int MAX_BILLS = 100_000;

    /** The age in nanoseconds at which held bills are committed even if the segment is not full. */
    public static final long MAX_COMMIT_DELAY_NANOS = 1_000_000_000L;

    /** The time in nanoseconds after which a bill is offered again if its commit was not reported. */
    public static final long REOFFER_NANOS = 10_000_000_000L;

    private static final int MAX_REMEMBERED_COMMITS = 20_000;

    private final Map<String, Bill> unreplicated = new LinkedHashMap<>();
    private final Map<String, ReplicatedBill> replicated = new LinkedHashMap<>();
    private final Map<String, HeldBill> held = new LinkedHashMap<>();
    private final Set<String> committed = new LinkedHashSet<>();
    private final Map<String, List<String>> releases = new HashMap<>();
    private Optional<BillSegment> pendingSegment = Optional.empty();

    /** An own bill that is reported to be held by another router or stored in the platform. */
    private record ReplicatedBill(Bill bill, long atNanos) {}

    /** A bill held until it is committed, and the routers that keep a copy of it. */
    private record HeldBill(Bill bill, Set<String> origins, long sinceNanos) {}

    private BillBuffer() {}

    /** Creates an empty buffer. */
    public static BillBuffer create() {
        return new BillBuffer();
    }

    /** Adds an own bill. Returns false, without adding it, if the buffer is full. */
    public boolean add(Bill bill) {
        if (unreplicated.size() + replicated.size() >= MAX_BILLS) {
            return false;
        }
        unreplicated.put(bill.requestId(), bill);
        return true;
    }

    /** Returns a batch of own bills that no other router holds, to be offered to one. */
    public List<Bill> billsToOffer() {
        return unreplicated.values().stream().limit(BillSegment.MAX_BILLS).toList();
    }

    /** Records that another router holds these own bills. */
    public void offerAccepted(Collection<Bill> bills, long nowNanos) {
        for (Bill bill : bills) {
            if (unreplicated.remove(bill.requestId()) != null) {
                replicated.put(bill.requestId(), new ReplicatedBill(bill, nowNanos));
            }
        }
    }

    /** Removes own bills that the platform stores. Returns how many were present. */
    public int release(Collection<String> requestIds) {
        int count = 0;
        for (String requestId : requestIds) {
            boolean known = unreplicated.remove(requestId) != null | replicated.remove(requestId) != null;
            count += known ? 1 : 0;
        }
        return count;
    }

    /** Queues own bills to be offered again if their commit was not reported in time. */
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
     * @return the number of bills held; the others were rejected because the buffer is full
     */
    public int hold(String origin, Collection<Bill> bills, long nowNanos) {
        int count = 0;
        for (Bill bill : bills) {
            count += hold(origin, bill, nowNanos) ? 1 : 0;
        }
        return count;
    }

    /**
     * Returns the segment to create next: the one whose outcome is unknown, or a new one if there are enough bills or
     * the oldest has waited long enough.
     *
     * @param newName the name of a new segment, which must be unique
     * @param flush whether to commit all bills immediately
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

    /** Handles a committed segment and queues the reports to the routers that keep copies. */
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

    /** Removes and returns the pending commit reports by receiving router. */
    public Map<String, List<String>> takeReleases() {
        Map<String, List<String>> taken = Map.copyOf(releases);
        releases.clear();
        return taken;
    }

    /** Queues the bills held for other routers as own ones, so that they are offered to another holder. */
    public void requeueHeldBills() {
        held.values().forEach(heldBill -> unreplicated.put(heldBill.bill().requestId(), heldBill.bill()));
    }

    /** Returns the number of own bills that no other router is known to hold. */
    public int unreplicatedCount() {
        return unreplicated.size();
    }

    /** Returns the number of bills held until they are committed. */
    public int heldCount() {
        return held.size();
    }

    /** Returns the number of own bills whose commit has not been reported. */
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
