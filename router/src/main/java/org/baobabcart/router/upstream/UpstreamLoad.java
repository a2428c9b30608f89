package org.baobabcart.router.upstream;

import java.util.Optional;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.policy.upstream.ConcurrencyLimit;
import org.baobabcart.policy.upstream.LoadReport;
import org.baobabcart.policy.upstream.UpstreamCandidate;

/** Tracks the load of one upstream as known to this router. Guarded by the dispatcher's lock. */
final class UpstreamLoad {
    private final String dataCentre;
    private int inFlight;
    private ConcurrencyLimit limit;
    private Optional<LoadReport> report = Optional.empty();
    private long reportedAt;
    private int inFlightAtReport;

    private UpstreamLoad(String dataCentre, ConcurrencyLimit limit) {
        this.dataCentre = dataCentre;
        this.limit = limit;
    }

    /** Creates the state of an upstream that has not been used yet. Only engines report their load. */
    static UpstreamLoad create(VirtualMachine upstream) {
        boolean reports = upstream.role() == VirtualMachine.Role.ENGINE;
        return new UpstreamLoad(
                upstream.dataCentre(), reports ? ConcurrencyLimit.initial() : ConcurrencyLimit.initialWithoutReports());
    }

    /**
     * Returns the maximum number of requests that this router may have in flight there: the slots that the upstream
     * declares, or else the learned limit.
     */
    private int limitOf(VirtualMachine upstream) {
        return upstream.slots() > 0 ? upstream.slots() : limit.maximumInFlight();
    }

    UpstreamCandidate candidate(VirtualMachine upstream, String dataCentre, long nowNanos) {
        return new UpstreamCandidate(
                upstream.name(),
                upstream.dataCentre().equals(dataCentre),
                inFlight,
                limitOf(upstream),
                report,
                nowNanos - reportedAt,
                inFlightAtReport);
    }

    void requestStarted() {
        inFlight++;
    }

    void responseStarted(long latencyNanos, Optional<LoadReport> newReport, long nowNanos) {
        if (newReport.isEmpty()) {
            limit = limit.withLatency(latencyNanos, inFlight);
            return;
        }
        report = newReport;
        reportedAt = nowNanos;
        inFlightAtReport = inFlight;
        limit = limit.withReport(newReport.get(), inFlight);
    }

    void requestEnded(Optional<FailureKind> failure) {
        if (failure.isPresent()) {
            limit = limit.withFailure();
        }
        inFlight--;
    }

    /** Returns the data centre of the upstream. */
    String dataCentre() {
        return dataCentre;
    }

    int inFlight() {
        return inFlight;
    }

    boolean isIdle() {
        return inFlight == 0;
    }
}
