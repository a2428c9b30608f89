package org.baobabcart.router.claim;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.util.concurrent.TimeUnit;
import org.baobabcart.wire.ClaimVerdict;

/** Metrics of claims. Thread-safe. */
final class ClaimMetrics {
    private final MetricRegistry registry;
    private final Counter reads;
    private final Counter writes;
    private final Histogram journalCharacters;
    private final Timer claims;

    ClaimMetrics(MetricRegistry registry) {
        this.registry = registry;
        this.reads = registry.counter("claims.platform-reads");
        this.writes = registry.counter("claims.platform-writes");
        this.journalCharacters = registry.histogram("claims.journal-characters");
        this.claims = registry.timer("claims.time");
    }

    void recordRead() {
        reads.inc();
    }

    void recordWrite(int characters) {
        writes.inc();
        journalCharacters.update(characters);
    }

    void recordVerdict(ClaimVerdict verdict, long elapsedNanos) {
        claims.update(elapsedNanos, TimeUnit.NANOSECONDS);
        registry.counter("claims.verdict." + verdict.name()).inc();
    }
}
