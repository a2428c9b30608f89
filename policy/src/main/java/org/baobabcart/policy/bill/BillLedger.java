package org.baobabcart.policy.bill;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.model.request.Bill;

/**
 * Committed bills with one bill for each request. Immutable.
 *
 * <p>A bill may stand in several segments, since both of its holders may have committed it; the one in the segment whose
 * name comes first counts.
 */
public final class BillLedger {
    private final Map<String, Bill> bills;

    private BillLedger(Map<String, Bill> bills) {
        this.bills = bills;
    }

    /** Merges segments, in whatever order they come. */
    public static BillLedger of(Collection<BillSegment> segments) {
        Map<String, Bill> bills = new LinkedHashMap<>();
        segments.stream()
                .sorted(Comparator.comparing(BillSegment::name))
                .flatMap(segment -> segment.bills().stream())
                .forEach(bill -> bills.putIfAbsent(bill.requestId(), bill));
        return new BillLedger(bills);
    }

    /** One bill for each request. */
    public List<Bill> bills() {
        return List.copyOf(bills.values());
    }

    /** The bill of a request. */
    public Optional<Bill> bill(String requestId) {
        return Optional.ofNullable(bills.get(requestId));
    }
}
