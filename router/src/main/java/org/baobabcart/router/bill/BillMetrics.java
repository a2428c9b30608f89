package org.baobabcart.router.bill;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.baobabcart.router.bill.BillService.BillHolder;

/** Metrics of bills. Thread-safe. */
final class BillMetrics {
    private final MetricRegistry registry;
    private final Counter offers;
    private final Counter segments;
    private final Counter lost;
    private final Histogram segmentBills;

    BillMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.offers = registry.counter("bills.offers");
        this.segments = registry.counter("bills.platform-writes");
        this.lost = registry.counter("bills.lost-for-lack-of-room");
        this.segmentBills = registry.histogram("bills.segment-bills");
    }

    void recordOffer() {
        offers.inc();
    }

    void recordSegment(int bills) {
        segments.inc();
        segmentBills.update(bills);
    }

    void recordLoss() {
        lost.inc();
    }

    void recordHolder(BillHolder holder) {
        registry.counter("bills.holder." + holder.name()).inc();
    }
}
