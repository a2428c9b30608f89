package org.baobabcart.router.claim;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.sheet.Service;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.DeadlineSweep;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.Members;
import org.baobabcart.router.peer.ClaimHandler;
import org.baobabcart.router.peer.PeerClient;
import org.baobabcart.router.platform.ObjectStore;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;
import org.baobabcart.wire.AttemptReply;
import org.baobabcart.wire.AttemptRequest;
import org.baobabcart.wire.AttemptState;
import org.baobabcart.wire.ClaimReply;
import org.baobabcart.wire.ClaimRequest;
import org.baobabcart.wire.ClaimVerdict;
import org.baobabcart.wire.SettleOutcome;
import org.baobabcart.wire.SettleReply;
import org.baobabcart.wire.SettleRequest;

/**
 * Claims idempotency keys in journals stored in the platform, one per partition of the key space. Thread-safe.
 *
 * <p>A claim is sent to the owner of its partition, which batches the claims of all routers. If the owner does not
 * answer, this node writes the journal itself; this is safe because the platform's conditional update provides the
 * fencing. A claim that cannot be made in time is abandoned before the refusal is returned, and released in the
 * background.
 */
public final class PartitionClaimService implements ClaimService, ClaimHandler, Controller {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration ATTEMPT_CLEANUP_PERIOD = Duration.ofSeconds(10);
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(5);

    private final Blackboard blackboard;
    private final TimerService timers;
    private final PeerClient peers;
    private final Timeline timeline;
    private final ClaimSettings settings;
    private final ClaimMetrics metrics;
    private final AttemptRegistry attempts = new AttemptRegistry();
    private final DeadlineSweep deadlines = DeadlineSweep.create();
    private final ClaimServer server;
    private final SettleOutbox outbox;
    private volatile PartitionAssignment assignment;
    private volatile boolean stopping;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    private PartitionClaimService(
            Blackboard blackboard,
            TimerService timers,
            ObjectStore store,
            PeerClient peers,
            Timeline timeline,
            MetricRegistry registry,
            ClaimSettings settings) {
        this.blackboard = blackboard;
        this.timers = timers;
        this.peers = peers;
        this.timeline = timeline;
        this.settings = settings;
        this.metrics = new ClaimMetrics(registry);
        this.assignment = new PartitionAssignment(Sections.MEMBERS.initial());
        this.server = new ClaimServer(store, peers, timers, settings, metrics, attempts, () -> assignment);
        this.outbox = new SettleOutbox(
                this::sendSettle, this::logLostOutcome, settings.retryPeriod().toNanos());
    }

    /** Creates a service that is not started. */
    public static PartitionClaimService create(
            Blackboard blackboard,
            TimerService timers,
            ObjectStore store,
            PeerClient peers,
            Timeline timeline,
            MetricRegistry registry,
            ClaimSettings settings) {
        return new PartitionClaimService(blackboard, timers, store, peers, timeline, registry, settings);
    }

    @Override
    public void start() {
        membersChanged(blackboard.read(Sections.MEMBERS));
        blackboard.subscribe(Sections.MEMBERS, this::membersChanged);
        timers.every("claims", settings.tickPeriod(), this::tick);
        timers.every("claims-trim", ATTEMPT_CLEANUP_PERIOD, () -> attempts.removeExpired(timers.nanoTime()));
    }

    /**
     * Completes when all outcomes are stored, or after a time-out of 5 seconds; the number of outcomes not stored by
     * then is logged.
     */
    @Override
    public Uni<Void> stop() {
        return Uni.createFrom().completionStage(() -> {
            stopping = true;
            deadlines.add(stopped, timers.nanoTime() + STOP_TIMEOUT.toNanos(), this::onStopTimeout);
            tick();
            return stopped;
        });
    }

    @Override
    public Uni<ClaimDecision> claim(ClaimCall call, Service service, Duration timeout) {
        return Uni.createFrom().completionStage(() -> startClaim(call, service, timeout));
    }

    @Override
    public boolean beginDispatch(String attemptId) {
        return attempts.beginDispatch(attemptId, timers.nanoTime());
    }

    @Override
    public void cancelDispatch(String attemptId) {
        attempts.cancelDispatch(attemptId);
    }

    @Override
    public Uni<Void> settle(ClaimCall call, ClaimOutcome outcome) {
        return Uni.createFrom().completionStage(() -> startSettle(call, outcome));
    }

    @Override
    public Uni<ClaimReply> claim(ClaimRequest request) {
        return Uni.createFrom().completionStage(() -> server.claim(request));
    }

    @Override
    public Uni<SettleReply> settle(SettleRequest request) {
        long deadline = timers.nanoTime() + settings.settleTimeout().toNanos();
        return Uni.createFrom().completionStage(() -> server.settle(request, deadline));
    }

    @Override
    public Uni<AttemptReply> attemptState(AttemptRequest request) {
        AttemptState state =
                switch (attempts.report(request.getAttemptId(), timers.nanoTime())) {
                    case WAITING -> AttemptState.WAITING;
                    case DISPATCHED -> AttemptState.DISPATCHED;
                    case ABANDONED -> AttemptState.ABANDONED;
                    case UNSEEN, UNREACHABLE -> AttemptState.UNSEEN;
                };
        return Uni.createFrom().item(new AttemptReply(state));
    }

    private CompletableFuture<ClaimDecision> startClaim(ClaimCall call, Service service, Duration timeout) {
        long now = timers.nanoTime();
        attempts.register(call.attemptId(), now);
        CompletableFuture<ClaimDecision> decision = new CompletableFuture<>();
        deadlines.add(decision, now + timeout.toNanos(), () -> abandon(call, decision));
        ClaimRequest request = new ClaimRequest(
                call.workspace(),
                call.service(),
                call.idempotencyKey(),
                call.callDigest(),
                call.attemptId(),
                assignment.members().self().nodeId(),
                assignment.members().self().incarnation(),
                service.retentionSeconds(),
                timeout.toMillis());
        route(request, now + timeout.toNanos()).whenComplete((reply, failure) -> {
            ClaimVerdict verdict = failure == null ? reply.getVerdict() : ClaimVerdict.UNAVAILABLE;
            metrics.recordVerdict(verdict, timers.nanoTime() - now);
            applyVerdict(call, verdict, reply, decision);
        });
        return decision;
    }

    /**
     * Sends the claim to the partition's owner. Processes it locally if this node is the owner or the owner's reply is
     * not conclusive.
     */
    private CompletableFuture<ClaimReply> route(ClaimRequest request, long deadlineNanos) {
        Member owner = assignment.owner(
                ClaimServer.partition(request.getWorkspace(), request.getServiceName(), request.getIdempotencyKey()));
        if (assignment.isSelf(owner)) {
            return server.claim(request);
        }
        Duration timeout = shorter(
                settings.ownerTimeout(),
                Duration.ofMillis(request.getTimeoutMillis()).dividedBy(2));
        return peers.claim(owner.peerAddress(), request, timeout)
                .onFailure()
                .recoverWithItem(new ClaimReply(ClaimVerdict.UNAVAILABLE))
                .subscribeAsCompletionStage()
                .thenCompose(reply -> isConclusive(reply) ? completed(reply) : claimLocally(request, deadlineNanos));
    }

    private CompletableFuture<ClaimReply> claimLocally(ClaimRequest request, long deadlineNanos) {
        long millisLeft = Duration.ofNanos(deadlineNanos - timers.nanoTime()).toMillis();
        if (millisLeft <= 0) {
            return completed(new ClaimReply(ClaimVerdict.UNAVAILABLE));
        }
        return server.claim(request.deepCopy().setTimeoutMillis(millisLeft));
    }

    private void applyVerdict(
            ClaimCall call, ClaimVerdict verdict, ClaimReply reply, CompletableFuture<ClaimDecision> decision) {
        switch (verdict) {
            case GRANTED -> grant(call, decision);
            case REPLAY -> {
                attempts.abandon(call.attemptId());
                decision.complete(ClaimDecision.replay(ReplyCodec.toReply(reply.getAnswer())));
            }
            case IN_PROGRESS -> refuse(call, ResultCode.KEY_IN_PROGRESS, decision);
            case OUTCOME_UNKNOWN -> refuse(call, ResultCode.OUTCOME_UNKNOWN, decision);
            case KEY_REUSED -> refuse(call, ResultCode.KEY_REUSED, decision);
            case UNAVAILABLE, NOT_OWNER -> abandon(call, decision);
            default -> throw new IllegalStateException("Unknown claim verdict: " + verdict);
        }
    }

    private void grant(ClaimCall call, CompletableFuture<ClaimDecision> decision) {
        boolean usable = attempts.markGranted(call.attemptId(), timers.nanoTime());
        if (usable && decision.complete(ClaimDecision.granted())) {
            timeline.record(EventType.CLAIM_GRANTED, attemptFields(call));
            return;
        }
        abandon(call, decision);
    }

    /** Abandons the attempt before the refusal is returned to the caller, so that it is never sent afterwards. */
    private void abandon(ClaimCall call, CompletableFuture<ClaimDecision> decision) {
        if (!attempts.abandon(call.attemptId())) {
            return;
        }
        refuse(call, ResultCode.CLAIM_UNAVAILABLE, decision);
        outbox.put(settleRequest(call, ClaimOutcome.notRun()), timers.nanoTime());
    }

    private void refuse(ClaimCall call, ResultCode code, CompletableFuture<ClaimDecision> decision) {
        attempts.abandon(call.attemptId());
        if (decision.complete(ClaimDecision.refused(code))) {
            timeline.record(EventType.CLAIM_REFUSED, attemptFields(call).with(EventField.RESULT, code));
        }
    }

    private static EventFields attemptFields(ClaimCall call) {
        return EventFields.of(EventField.ATTEMPT_ID, call.attemptId());
    }

    private CompletableFuture<Void> startSettle(ClaimCall call, ClaimOutcome outcome) {
        long now = timers.nanoTime();
        if (outcome.kind() == ClaimOutcome.Kind.NOT_RUN) {
            attempts.markNotRun(call.attemptId());
        }
        CompletableFuture<Void> waiter = new CompletableFuture<>();
        deadlines.add(
                waiter,
                now + settings.settleTimeout().toNanos(),
                () -> waiter.completeExceptionally(BaobabcartException.of(
                        ResultCode.WRITE_OUTCOME_UNKNOWN, "the outcome is stored in the background")));
        outbox.put(settleRequest(call, outcome), now).thenRun(() -> {
            if (outcome.kind() != ClaimOutcome.Kind.NOT_RUN) {
                attempts.remove(call.attemptId());
            }
            timeline.record(EventType.CLAIM_SETTLED, attemptFields(call).with(EventField.OUTCOME, outcome.kind()));
            waiter.complete(null);
        });
        return waiter;
    }

    private CompletableFuture<Boolean> sendSettle(SettleRequest request) {
        long deadline = timers.nanoTime() + settings.settleTimeout().toNanos();
        Member owner = assignment.owner(
                ClaimServer.partition(request.getWorkspace(), request.getServiceName(), request.getIdempotencyKey()));
        if (assignment.isSelf(owner)) {
            return server.settle(request, deadline).thenApply(SettleReply::isStored);
        }
        return peers.settle(owner.peerAddress(), request, settings.ownerTimeout())
                .onFailure()
                .recoverWithItem(new SettleReply(false))
                .subscribeAsCompletionStage()
                .thenCompose(reply -> reply.isStored()
                        ? CompletableFuture.completedFuture(true)
                        : server.settle(request, deadline).thenApply(SettleReply::isStored));
    }

    private static SettleRequest settleRequest(ClaimCall call, ClaimOutcome outcome) {
        SettleOutcome kind = SettleOutcome.valueOf(outcome.kind().name());
        SettleRequest request =
                new SettleRequest(call.workspace(), call.service(), call.idempotencyKey(), call.attemptId(), kind);
        outcome.answer()
                .map(ReplyCodec::toJournaled)
                .map(ReplyCodec::toReply)
                .map(ReplyCodec::toWire)
                .ifPresent(request::setAnswer);
        return request;
    }

    private void membersChanged(Members members) {
        assignment = new PartitionAssignment(members);
    }

    private void tick() {
        long now = timers.nanoTime();
        deadlines.runExpired(now);
        server.tick(now);
        outbox.tick(now);
        if (stopping && outbox.size() == 0) {
            stopped.complete(null);
        }
    }

    private void onStopTimeout() {
        LOGGER.atWarning().log("event=claims-not-settled count=%d", outbox.size());
        stopped.complete(null);
    }

    private void logLostOutcome(SettleRequest request) {
        LOGGER.atSevere().log("event=claim-outcome-lost attempt=%s", request.getAttemptId());
    }

    private static boolean isConclusive(ClaimReply reply) {
        return reply.getVerdict() != ClaimVerdict.UNAVAILABLE && reply.getVerdict() != ClaimVerdict.NOT_OWNER;
    }

    private static CompletableFuture<ClaimReply> completed(ClaimReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }
}
