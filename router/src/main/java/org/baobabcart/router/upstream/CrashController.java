package org.baobabcart.router.upstream;

import java.util.HashSet;
import java.util.Set;
import org.baobabcart.policy.crash.CrashCounts;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.member.ExchangeParticipant;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;
import org.baobabcart.router.view.FeedbackListener;
import org.baobabcart.wire.CrashReport;
import org.baobabcart.wire.Exchange;

/**
 * Counts crashes by request fingerprint over all routers, and writes those that no upstream gets any more. Confined to
 * the control thread.
 */
public final class CrashController implements FeedbackListener, ExchangeParticipant {
    private static final int REPORTS_LIMIT = 256;

    private final Blackboard blackboard;
    private final Timeline timeline;
    private final Runnable spread;
    private final String router;
    private CrashCounts counts = CrashCounts.empty();

    private CrashController(Blackboard blackboard, Timeline timeline, Runnable spread, String router) {
        this.blackboard = blackboard;
        this.timeline = timeline;
        this.spread = spread;
        this.router = router;
    }

    /**
     * A controller without counts.
     *
     * @param spread begins an exchange with peers at once
     * @param router this router's name
     */
    public static CrashController create(Blackboard blackboard, Timeline timeline, Runnable spread, String router) {
        return new CrashController(blackboard, timeline, spread, router);
    }

    /** Counts a broken connection; the traffic path reports one twice where the upstream answers no more. */
    @Override
    public void crashed(String upstream, String fingerprint) {
        counts = counts.withCrash(fingerprint, router, CrashCounts.BROKEN_CONNECTION);
        publish();
        spread.run();
    }

    @Override
    public void contribute(Exchange outgoing) {
        counts.fingerprints().stream()
                .skip(Math.max(0, counts.fingerprints().size() - REPORTS_LIMIT))
                .forEach(fingerprint -> counts.byRouter(fingerprint)
                        .forEach(
                                (node, crashes) -> outgoing.addToCrashes(new CrashReport(fingerprint, node, crashes))));
    }

    @Override
    public void received(Exchange incoming, String peerAddress) {
        for (CrashReport report : incoming.getCrashes()) {
            counts = counts.withReport(report.getFingerprint(), report.getNodeId(), report.getCrashes());
        }
        publish();
    }

    private void publish() {
        Set<String> quarantined = counts.fingerprintsAtLeast(CrashCounts.QUARANTINE_THRESHOLD);
        Set<String> fresh = new HashSet<>(quarantined);
        fresh.removeAll(blackboard.read(Sections.QUARANTINED));
        fresh.forEach(fingerprint -> timeline.record(
                EventType.FINGERPRINT_QUARANTINED, EventFields.of(EventField.FINGERPRINT, fingerprint)));
        blackboard.write(Sections.QUARANTINED, quarantined);
    }
}
