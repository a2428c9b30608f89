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
 * Counts crashes per request fingerprint across all routers, and publishes the fingerprints that are quarantined, that
 * is, no longer sent to any upstream. Confined to the control thread.
 */
public final class CrashController implements FeedbackListener, ExchangeParticipant {
    private static final int REPORTS_LIMIT = 256;

    private final Blackboard blackboard;
    private final Timeline timeline;
    private final Runnable startExchange;
    private final String router;
    private CrashCounts counts = CrashCounts.empty();

    private CrashController(Blackboard blackboard, Timeline timeline, Runnable startExchange, String router) {
        this.blackboard = blackboard;
        this.timeline = timeline;
        this.startExchange = startExchange;
        this.router = router;
    }

    /**
     * Creates a controller without any counts.
     *
     * @param startExchange starts an exchange with peers immediately
     * @param router the name of this router
     */
    public static CrashController create(
            Blackboard blackboard, Timeline timeline, Runnable startExchange, String router) {
        return new CrashController(blackboard, timeline, startExchange, router);
    }

    /**
     * Counts a broken connection. The traffic path reports the crash twice if the upstream can no longer be reached.
     */
    @Override
    public void crashed(String upstream, String fingerprint) {
        counts = counts.withCrash(fingerprint, router, CrashCounts.BROKEN_CONNECTION);
        publish();
        startExchange.run();
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
        Set<String> added = new HashSet<>(quarantined);
        added.removeAll(blackboard.read(Sections.QUARANTINED));
        added.forEach(fingerprint -> timeline.record(
                EventType.FINGERPRINT_QUARANTINED, EventFields.of(EventField.FINGERPRINT, fingerprint)));
        blackboard.write(Sections.QUARANTINED, quarantined);
    }
}
