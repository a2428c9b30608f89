package org.baobabcart.policy.bill;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.model.request.Bill;

/**
 * Committed bills, with one bill per request. Immutable.
 *
 * <p>A bill may occur in several segments, since both of its holders may have committed it. The one in the segment
 * whose name sorts first counts.
 */
public final class BillLedger {
    private final Map<String, Bill> bills;

    private BillLedger(Map<String, Bill> bills) {
        this.bills = bills;
    }

    /** Merges segments, independently of their order. */
    public static BillLedger of(Collection<BillSegment> segments) {
        Map<String, Bill> bills = new LinkedHashMap<>();
        segments.stream()
                .sorted(Comparator.comparing(BillSegment::name))
                .flatMap(segment -> segment.bills().stream())
                .forEach(bill -> bills.putIfAbsent(bill.requestId(), bill));
        return new BillLedger(bills);
    }

    /** Returns one bill per request. */
    public List<Bill> bills() {
        return List.copyOf(bills.values());
    }

    /** Returns the bill of a request. */
    public Optional<Bill> bill(String requestId) {
        return Optional.ofNullable(bills.get(requestId));
    }
}
