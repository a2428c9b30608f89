package org.baobabcart.router.rollout;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.policy.hash.RendezvousHash;
import org.baobabcart.policy.rollout.RollOutJudge;
import org.baobabcart.policy.rollout.RollOutVerdict;
import org.baobabcart.policy.rollout.StageEvidence;
import org.baobabcart.policy.rollout.VersionOutcome;
import org.baobabcart.policy.rollout.VersionTotals;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.member.ExchangeParticipant;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.Members;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.view.FeedbackListener;
import org.baobabcart.wire.EvidenceReport;
import org.baobabcart.wire.Exchange;

/**
 * Counts evidence of roll-outs, stops bad versions and, where this router controls, moves stages on. Confined to the
 * control thread.
 *
 * <p>Every router judges by the evidence pooled from all and acts on a stop at once for its own traffic; one router of all
 * data centres, chosen by rendezvous hashing, writes stages and stops to the platform while it holds a lease there, so
 * that routers that are cut from each other don't take the control from one another. Where that router does not write a
 * stop in time the others do; while the platform is away, stops hold on each router that has seen the evidence.
 */
public final class RollOutController implements Controller, FeedbackListener, ExchangeParticipant {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String DUTY = "roll-outs";

    private final RollOutParts parts;
    private final RollOutJudge judge;
    private final RollOutWriter writer;
    private final RollOutLease lease;
    private final String nodeId;
    private final EvidenceCounts counts;
    private final LocalStops stops = new LocalStops();
    private final Map<Long, StageWatch> watches = new HashMap<>();
    private RollOutState published = RollOutState.empty();
    private List<ActiveRollOut> active = List.of();
    private Set<Long> knownStages = Set.of();
    private Consumer<StoredObject> written = ignored -> {};
    private long publishedAtNanos = Long.MIN_VALUE;
    private OptionalLong controllingSinceNanos = OptionalLong.empty();
    private Optional<TimerService.Subscription> timer = Optional.empty();

    private RollOutController(RollOutParts parts, Member self) {
        this.parts = parts;
        this.judge = RollOutJudge.of(parts.settings().judgement());
        this.writer = RollOutWriter.create(parts, object -> written.accept(object));
        this.nodeId = self.nodeId() + "#" + self.incarnation();
        this.counts = EvidenceCounts.create(nodeId);
        this.lease = RollOutLease.create(parts, nodeId);
    }

    /** A controller that has not started yet; the member is this router at its start. */
    public static RollOutController create(RollOutParts parts, Member self) {
        return new RollOutController(parts, self);
    }

    @Override
    public void start() {
        parts.blackboard().subscribe(Sections.SHEET, ignored -> refresh());
        timer = Optional.of(parts.timers().every("roll-outs", parts.settings().period(), this::tick));
        refresh();
    }

    /** Hands over what this router controls. */
    @Override
    public Uni<Void> stop() {
        timer.ifPresent(TimerService.Subscription::cancel);
        boolean controls = published.progress().stream()
                .anyMatch(progress -> progress.controller().equals(nodeId));
        Uni<Void> handedOver = controls
                ? writer.write(RollOutProposals.handOver(nodeId))
                : Uni.createFrom().voidItem();
        return handedOver.emitOn(parts.loop()).flatMap(ignored -> lease.giveBack());
    }

    /** Tells a listener, on the control thread, of each object that this router writes to the platform. */
    public void onWritten(Consumer<StoredObject> listener) {
        written = listener;
    }

    /** Takes in the state that the platform or a peer has published, and puts it in force with this router's stops. */
    public void published(RollOutState state) {
        published = state;
        publishedAtNanos = parts.timers().nanoTime();
        refresh();
    }

    @Override
    public void outcome(String model, String version, VersionOutcome outcome) {
        for (ActiveRollOut rollOut : active) {
            if (rollOut.counts(model, version)) {
                counts.count(model, version, rollOut.stageEpoch(), outcome);
            }
        }
    }

    @Override
    public void contribute(Exchange outgoing) {
        outgoing.setEvidence(counts.reports(parts.settings().maximumReports()));
    }

    @Override
    public void received(Exchange incoming, String peerAddress) {
        for (EvidenceReport report : incoming.getEvidence()) {
            counts.receive(report, knownStages);
        }
    }

    private void refresh() {
        stops.retain(published.progress().stream().map(RollOutKey::of).collect(Collectors.toSet()));
        RollOutState effective = stops.applied(published);
        active = sheet().map(sheet -> ActiveRollOut.of(sheet, effective)).orElse(List.of());
        knownStages = active.stream().map(ActiveRollOut::stageEpoch).collect(Collectors.toCollection(HashSet::new));
        counts.retain(knownStages);
        watches.keySet().retainAll(knownStages);
        parts.blackboard().write(Sections.ROLL_OUTS, effective);
    }

    private void tick() {
        updateControl();
        Map<ActiveRollOut, RollOutVerdict> verdicts = new HashMap<>();
        active.forEach(rollOut -> verdicts.put(rollOut, judged(rollOut)));
        verdicts.forEach(this::stopLocally);
        if (!writer.isBusy()) {
            proposal(verdicts).ifPresent(this::write);
        }
    }

    private RollOutVerdict judged(ActiveRollOut rollOut) {
        String model = rollOut.progress().model();
        VersionTotals newTotals = counts.pooled(model, rollOut.rollOut().to(), rollOut.stageEpoch());
        VersionTotals oldTotals = counts.pooled(model, rollOut.rollOut().from(), rollOut.stageEpoch());
        long now = parts.timers().nanoTime();
        StageWatch watch = watches.computeIfAbsent(
                        rollOut.stageEpoch(), ignored -> StageWatch.from(newTotals, oldTotals, now))
                .at(newTotals, oldTotals);
        watches.put(rollOut.stageEpoch(), watch);
        StageEvidence evidence = new StageEvidence(
                rollOut.progress().stage(), rollOut.stage().share(), newTotals, oldTotals, watch.windows());
        return judge.judge(rollOut.stage(), evidence, now - watch.sinceNanos());
    }

    private void stopLocally(ActiveRollOut rollOut, RollOutVerdict verdict) {
        if (verdict.kind() != RollOutVerdict.Kind.STOP) {
            return;
        }
        if (stops.add(rollOut.key(), verdict.reason(), parts.timers().nanoTime())) {
            EventFields fields = EventFields.of(EventField.TARGET, String.valueOf(rollOut.key()))
                    .with(EventField.CHANGE, "stopped here")
                    .with(EventField.CAUSE, verdict.reason());
            parts.timeline().record(EventType.ROLL_OUT_CHANGED, fields);
            LOGGER.atWarning().log("event=roll_out_stopped %s", fields);
            refresh();
        }
    }

    private Optional<RollOutChange> proposal(Map<ActiveRollOut, RollOutVerdict> verdicts) {
        boolean chosen = controllingSinceNanos.isPresent();
        boolean controls = chosen && lease.isHeld();
        Duration patience = controls ? Duration.ZERO : parts.settings().stopWriteDelay();
        Optional<RollOutChange> stop =
                RollOutProposals.stop(published, stops, parts.timers().nanoTime(), patience);
        if (stop.isPresent()) {
            return stop;
        }
        if (!chosen) {
            return RollOutProposals.handOverIfControlled(published, nodeId);
        }
        if (!controls) {
            return Optional.empty();
        }
        Optional<RollOutChange> taken = isSettled()
                ? sheet().flatMap(sheet -> RollOutProposals.beginOrTakeOver(sheet, published, nodeId))
                : Optional.empty();
        return taken.or(() -> RollOutProposals.advance(verdicts, nodeId));
    }

    private void write(RollOutChange change) {
        writer.write(change).subscribe().with(ignored -> {});
    }

    private void updateControl() {
        boolean chosen = isChosen();
        if (!chosen) {
            controllingSinceNanos = OptionalLong.empty();
            lease.giveBack().subscribe().with(ignored -> {});
            return;
        }
        if (controllingSinceNanos.isEmpty()) {
            controllingSinceNanos = OptionalLong.of(parts.timers().nanoTime());
        }
        if (sheet().filter(sheet -> !sheet.rollOuts().isEmpty()).isPresent()) {
            lease.want();
        }
    }

    private boolean isChosen() {
        Members members = parts.blackboard().read(Sections.MEMBERS);
        List<String> eligible = members.eligible().stream().map(Member::nodeId).toList();
        return RendezvousHash.top(DUTY, eligible, 1).contains(members.self().nodeId());
    }

    /** Whether neither the choice of this router nor the published state has changed for some time. */
    private boolean isSettled() {
        long since = Math.max(controllingSinceNanos.orElse(Long.MAX_VALUE), publishedAtNanos);
        return parts.timers().nanoTime() - since
                >= parts.settings().takeOverDelay().toNanos();
    }

    private Optional<Sheet> sheet() {
        return parts.blackboard().read(Sections.SHEET).map(PublishedSheet::sheet);
    }
}
