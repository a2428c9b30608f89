package org.baobabcart.router.crash;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.baobabcart.policy.crash.CrashObservation;
import org.baobabcart.policy.crash.CrashReport;
import org.baobabcart.policy.crash.CrashSeverity;
import org.baobabcart.policy.crash.Quarantine;
import org.baobabcart.policy.crash.RequestFingerprint;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.member.ExchangeParticipant;
import org.baobabcart.wire.Exchange;
import org.baobabcart.wire.QuarantineTerm;
import org.baobabcart.wire.UnansweredRequest;

/** Shares crash reports between routers in their periodic exchanges. Confined to the control thread. */
public final class PeerCrashReports implements ExchangeParticipant {
    private final CrashLedger ledger;

    private PeerCrashReports(CrashLedger ledger) {
        this.ledger = ledger;
    }

    /**
     * Creates a participant, and has the ledger reviewed periodically.
     *
     * @param startExchange starts an exchange with peers immediately; called when there is news
     */
    public static PeerCrashReports create(CrashLedger ledger, TimerService timers, Runnable startExchange) {
        ledger.onReportChanged(startExchange);
        timers.every("crash-review", CrashLedger.REVIEW_PERIOD, ledger::review);
        return new PeerCrashReports(ledger);
    }

    @Override
    public void contribute(Exchange outgoing) {
        ledger.reports().forEach(report -> outgoing.addToCrashes(toWire(report)));
    }

    @Override
    public void received(Exchange incoming, String peerAddress) {
        incoming.getCrashes().stream().map(PeerCrashReports::fromWire).forEach(ledger::receiveFromPeer);
    }

    private static org.baobabcart.wire.CrashReport toWire(CrashReport report) {
        return new org.baobabcart.wire.CrashReport(
                report.router(),
                report.sequence(),
                report.crashes().stream().map(PeerCrashReports::toWire).toList(),
                report.begun(),
                report.quarantines().entrySet().stream()
                        .map(entry -> new QuarantineTerm(entry.getKey().keys(), entry.getValue()))
                        .toList(),
                report.ended());
    }

    private static org.baobabcart.wire.CrashObservation toWire(CrashObservation observation) {
        List<UnansweredRequest> unanswered = observation.unanswered().stream()
                .map(request -> new UnansweredRequest(request.request(), request.parts()))
                .toList();
        return new org.baobabcart.wire.CrashObservation(
                observation.crash(), observation.severity() == CrashSeverity.LOST_UPSTREAM, unanswered);
    }

    private static CrashReport fromWire(org.baobabcart.wire.CrashReport report) {
        List<CrashObservation> crashes =
                report.getCrashes().stream().map(PeerCrashReports::fromWire).toList();
        Map<Quarantine, Integer> quarantines = report.getQuarantines().stream()
                .filter(quarantine -> !quarantine.getKeys().isEmpty())
                .collect(Collectors.toMap(
                        quarantine -> new Quarantine(quarantine.getKeys()), QuarantineTerm::getTerm, Math::max));
        return new CrashReport(
                report.getNodeId(),
                report.getSequence(),
                crashes,
                Map.copyOf(report.getBegun()),
                quarantines,
                Map.copyOf(report.getEnded()));
    }

    private static CrashObservation fromWire(org.baobabcart.wire.CrashObservation observation) {
        return new CrashObservation(
                observation.getCrash(),
                observation.isLost() ? CrashSeverity.LOST_UPSTREAM : CrashSeverity.BROKEN_CONNECTION,
                observation.getUnanswered().stream()
                        .map(request -> new RequestFingerprint(request.getRequest(), request.getParts()))
                        .collect(Collectors.toList()));
    }
}
