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
 * Counts evidence of roll-outs, stops bad versions and, if this router is the controller, advances stages. Confined to
 * the control thread.
 *
 * <p>Every router evaluates the evidence pooled from all routers and applies a stop to its own traffic immediately. One
 * router of all data centres, selected by rendezvous hashing, writes stages and stops to the platform. It does so only
 * while it holds a lease in the platform, so that partitioned routers do not take control from each other. If the
 * controller does not write a stop in time, other routers write it. While the platform is unavailable, each router that
 * has received the evidence applies the stop locally.
 */
public final class RollOutController implements Controller, FeedbackListener, ExchangeParticipant {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String HASH_KEY = "roll-outs";

    private final RollOutDependencies dependencies;
    private final RollOutJudge judge;
    private final RollOutWriter writer;
    private final RollOutLease lease;
    private final String nodeId;
    private final EvidenceCounts counts;
    private final LocalStops stops = new LocalStops();
    private final Map<Long, StageObservation> observations = new HashMap<>();
    private RollOutState published = RollOutState.empty();
    private List<ActiveRollOut> activeRollOuts = List.of();
    private Set<Long> activeStages = Set.of();
    private Consumer<StoredObject> writeListener = ignored -> {};
    private long publishedAtNanos = Long.MIN_VALUE;
    private OptionalLong selectedSinceNanos = OptionalLong.empty();
    private Optional<TimerService.Subscription> timer = Optional.empty();

    private RollOutController(RollOutDependencies dependencies, Member self) {
        this.dependencies = dependencies;
        this.judge = RollOutJudge.of(dependencies.settings().judgement());
        this.writer = RollOutWriter.create(dependencies, object -> writeListener.accept(object));
        this.nodeId = self.nodeId() + "#" + self.incarnation();
        this.counts = EvidenceCounts.create(nodeId);
        this.lease = RollOutLease.create(dependencies, nodeId);
    }

    /** Creates a controller that is not started; {@code self} describes this router at its start. */
    public static RollOutController create(RollOutDependencies dependencies, Member self) {
        return new RollOutController(dependencies, self);
    }

    @Override
    public void start() {
        dependencies.blackboard().subscribe(Sections.SHEET, ignored -> applyEffectiveState());
        timer = Optional.of(
                dependencies.timers().every("roll-outs", dependencies.settings().period(), this::tick));
        applyEffectiveState();
    }

    /** Hands over the roll-outs that this router controls and releases the lease. */
    @Override
    public Uni<Void> stop() {
        timer.ifPresent(TimerService.Subscription::cancel);
        boolean inControl = published.progress().stream()
                .anyMatch(progress -> progress.controller().equals(nodeId));
        Uni<Void> handedOver = inControl
                ? writer.write(RollOutProposals.handOver(nodeId))
                : Uni.createFrom().voidItem();
        return handedOver.emitOn(dependencies.loop()).flatMap(ignored -> lease.release());
    }

    /**
     * Sets the listener that is called, on the control thread, with each object that this router writes to the
     * platform.
     */
    public void onWritten(Consumer<StoredObject> listener) {
        writeListener = listener;
    }

    /** Accepts a state published by the platform or a peer, and applies it together with this router's own stops. */
    public void published(RollOutState state) {
        published = state;
        publishedAtNanos = dependencies.timers().nanoTime();
        applyEffectiveState();
    }

    @Override
    public void outcome(String model, String version, VersionOutcome outcome) {
        for (ActiveRollOut rollOut : activeRollOuts) {
            if (rollOut.tracks(model, version)) {
                counts.add(model, version, rollOut.stageEpoch(), outcome);
            }
        }
    }

    @Override
    public void contribute(Exchange outgoing) {
        outgoing.setEvidence(counts.reports(dependencies.settings().maximumReports()));
    }

    @Override
    public void received(Exchange incoming, String peerAddress) {
        for (EvidenceReport report : incoming.getEvidence()) {
            counts.receive(report, activeStages);
        }
    }

    private void applyEffectiveState() {
        stops.retain(published.progress().stream().map(RollOutKey::of).collect(Collectors.toSet()));
        RollOutState effective = stops.applyTo(published);
        activeRollOuts =
                sheet().map(sheet -> ActiveRollOut.of(sheet, effective)).orElse(List.of());
        activeStages =
                activeRollOuts.stream().map(ActiveRollOut::stageEpoch).collect(Collectors.toCollection(HashSet::new));
        counts.retain(activeStages);
        observations.keySet().retainAll(activeStages);
        dependencies.blackboard().write(Sections.ROLL_OUTS, effective);
    }

    private void tick() {
        updateControl();
        Map<ActiveRollOut, RollOutVerdict> verdicts = new HashMap<>();
        activeRollOuts.forEach(rollOut -> verdicts.put(rollOut, evaluate(rollOut)));
        verdicts.forEach(this::stopLocally);
        if (!writer.isBusy()) {
            nextChange(verdicts).ifPresent(this::write);
        }
    }

    private RollOutVerdict evaluate(ActiveRollOut rollOut) {
        String model = rollOut.progress().model();
        VersionTotals newTotals = counts.pooled(model, rollOut.rollOut().to(), rollOut.stageEpoch());
        VersionTotals oldTotals = counts.pooled(model, rollOut.rollOut().from(), rollOut.stageEpoch());
        long now = dependencies.timers().nanoTime();
        StageObservation observation = observations
                .computeIfAbsent(rollOut.stageEpoch(), ignored -> StageObservation.start(newTotals, oldTotals, now))
                .updated(newTotals, oldTotals);
        observations.put(rollOut.stageEpoch(), observation);
        StageEvidence evidence = new StageEvidence(
                rollOut.progress().stage(), rollOut.stage().share(), newTotals, oldTotals, observation.windows());
        return judge.judge(rollOut.stage(), evidence, now - observation.startedAtNanos());
    }

    private void stopLocally(ActiveRollOut rollOut, RollOutVerdict verdict) {
        if (verdict.kind() != RollOutVerdict.Kind.STOP) {
            return;
        }
        if (stops.add(
                rollOut.stageKey(), verdict.reason(), dependencies.timers().nanoTime())) {
            EventFields fields = EventFields.of(EventField.TARGET, String.valueOf(rollOut.stageKey()))
                    .with(EventField.CHANGE, "stopped here")
                    .with(EventField.CAUSE, verdict.reason());
            dependencies.timeline().record(EventType.ROLL_OUT_CHANGED, fields);
            LOGGER.atWarning().log("event=roll_out_stopped %s", fields);
            applyEffectiveState();
        }
    }

    private Optional<RollOutChange> nextChange(Map<ActiveRollOut, RollOutVerdict> verdicts) {
        boolean selected = selectedSinceNanos.isPresent();
        boolean inControl = selected && lease.isHeld();
        Duration stopDelay = inControl ? Duration.ZERO : dependencies.settings().stopWriteDelay();
        Optional<RollOutChange> stop =
                RollOutProposals.stop(published, stops, dependencies.timers().nanoTime(), stopDelay);
        if (stop.isPresent()) {
            return stop;
        }
        if (!selected) {
            return RollOutProposals.handOverIfControlled(published, nodeId);
        }
        if (!inControl) {
            return Optional.empty();
        }
        Optional<RollOutChange> startOrTakeOver = isStable()
                ? sheet().flatMap(sheet -> RollOutProposals.beginOrTakeOver(sheet, published, nodeId))
                : Optional.empty();
        return startOrTakeOver.or(() -> RollOutProposals.advance(verdicts, nodeId));
    }

    private void write(RollOutChange change) {
        writer.write(change).subscribe().with(ignored -> {});
    }

    private void updateControl() {
        boolean selected = isSelected();
        if (!selected) {
            selectedSinceNanos = OptionalLong.empty();
            lease.release().subscribe().with(ignored -> {});
            return;
        }
        if (selectedSinceNanos.isEmpty()) {
            selectedSinceNanos = OptionalLong.of(dependencies.timers().nanoTime());
        }
        if (sheet().filter(sheet -> !sheet.rollOuts().isEmpty()).isPresent()) {
            lease.acquireOrRenew();
        }
    }

    private boolean isSelected() {
        Members members = dependencies.blackboard().read(Sections.MEMBERS);
        List<String> eligible = members.eligible().stream().map(Member::nodeId).toList();
        return RendezvousHash.top(HASH_KEY, eligible, 1).contains(members.self().nodeId());
    }

    /**
     * Returns whether neither the selection of this router nor the published state has changed for the take-over delay.
     */
    private boolean isStable() {
        long since = Math.max(selectedSinceNanos.orElse(Long.MAX_VALUE), publishedAtNanos);
        return dependencies.timers().nanoTime() - since
                >= dependencies.settings().takeOverDelay().toNanos();
    }

    private Optional<Sheet> sheet() {
        return dependencies.blackboard().read(Sections.SHEET).map(PublishedSheet::sheet);
    }
}
