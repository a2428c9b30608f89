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
 * Claims idempotency keys in journals of the platform, one for each partition of the keys. Thread-safe.
 *
 * <p>A claim goes to the partition's owner, who writes the claims of all routers together. If the owner does not answer,
 * this node writes the journal itself, which is safe since the platform's conditional update is the fence. A claim that
 * could not be made in time is abandoned before its caller is told, and released in the background.
 */
public final class PartitionClaimService implements ClaimService, ClaimHandler, Controller {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration TRIM_PERIOD = Duration.ofSeconds(10);
    private static final Duration STOP_BOUND = Duration.ofSeconds(5);

    private final Blackboard blackboard;
    private final TimerService timers;
    private final PeerClient peers;
    private final Timeline timeline;
    private final ClaimSettings settings;
    private final ClaimMetrics metrics;
    private final Attempts attempts = new Attempts();
    private final DeadlineSweep deadlines = DeadlineSweep.create();
    private final ClaimServer server;
    private final SettleOutbox outbox;
    private volatile PartitionPlan plan;
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
        this.plan = new PartitionPlan(Sections.MEMBERS.initial());
        this.server = new ClaimServer(store, peers, timers, settings, metrics, attempts, () -> plan);
        this.outbox = new SettleOutbox(
                this::sendSettle, this::lost, settings.retryPeriod().toNanos());
    }

    /** A service that takes part in claims once it is started. */
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
        timers.every("claims", settings.tick(), this::tick);
        timers.every("claims-trim", TRIM_PERIOD, () -> attempts.trim(timers.nanoTime()));
    }

    /** Completes when every outcome is stored, or after a bound; outcomes that are not stored by then are logged. */
    @Override
    public Uni<Void> stop() {
        return Uni.createFrom().completionStage(() -> {
            stopping = true;
            deadlines.add(stopped, timers.nanoTime() + STOP_BOUND.toNanos(), this::stopLate);
            tick();
            return stopped;
        });
    }

    @Override
    public Uni<ClaimDecision> claim(ClaimCall call, Service service, Duration timeout) {
        return Uni.createFrom().completionStage(() -> startClaim(call, service, timeout));
    }

    @Override
    public boolean dispatching(String attemptId) {
        return attempts.dispatch(attemptId, timers.nanoTime());
    }

    @Override
    public void returned(String attemptId) {
        attempts.returned(attemptId);
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
        attempts.begin(call.attemptId(), now);
        CompletableFuture<ClaimDecision> decision = new CompletableFuture<>();
        deadlines.add(decision, now + timeout.toNanos(), () -> giveUp(call, decision));
        ClaimRequest request = new ClaimRequest(
                call.workspace(),
                call.service(),
                call.idempotencyKey(),
                call.callDigest(),
                call.attemptId(),
                plan.members().self().nodeId(),
                plan.members().self().incarnation(),
                service.retentionSeconds(),
                timeout.toMillis());
        route(request, now + timeout.toNanos()).whenComplete((reply, failure) -> {
            ClaimVerdict verdict = failure == null ? reply.getVerdict() : ClaimVerdict.UNAVAILABLE;
            metrics.decided(verdict, timers.nanoTime() - now);
            decide(call, verdict, reply, decision);
        });
        return decision;
    }

    /** Asks the owner, or writes the journal here if this node is the owner or the owner gives no verdict. */
    private CompletableFuture<ClaimReply> route(ClaimRequest request, long deadlineNanos) {
        Member owner = plan.owner(
                ClaimServer.partition(request.getWorkspace(), request.getServiceName(), request.getIdempotencyKey()));
        if (plan.isSelf(owner)) {
            return server.claim(request);
        }
        Duration timeout = shorter(
                settings.ownerTimeout(),
                Duration.ofMillis(request.getTimeoutMillis()).dividedBy(2));
        return peers.claim(owner.peerAddress(), request, timeout)
                .onFailure()
                .recoverWithItem(new ClaimReply(ClaimVerdict.UNAVAILABLE))
                .subscribeAsCompletionStage()
                .thenCompose(reply -> conclusive(reply) ? completed(reply) : claimHere(request, deadlineNanos));
    }

    private CompletableFuture<ClaimReply> claimHere(ClaimRequest request, long deadlineNanos) {
        long millisLeft = Duration.ofNanos(deadlineNanos - timers.nanoTime()).toMillis();
        if (millisLeft <= 0) {
            return completed(new ClaimReply(ClaimVerdict.UNAVAILABLE));
        }
        return server.claim(request.deepCopy().setTimeoutMillis(millisLeft));
    }

    private void decide(
            ClaimCall call, ClaimVerdict verdict, ClaimReply reply, CompletableFuture<ClaimDecision> decision) {
        switch (verdict) {
            case GRANTED -> grant(call, decision);
            case REPLAY -> {
                attempts.abandon(call.attemptId());
                decision.complete(ClaimDecision.replay(Replies.toReply(reply.getAnswer())));
            }
            case IN_PROGRESS -> refuse(call, ResultCode.KEY_IN_PROGRESS, decision);
            case OUTCOME_UNKNOWN -> refuse(call, ResultCode.OUTCOME_UNKNOWN, decision);
            case KEY_REUSED -> refuse(call, ResultCode.KEY_REUSED, decision);
            case UNAVAILABLE, NOT_OWNER -> giveUp(call, decision);
            default -> throw new IllegalStateException("No such verdict: " + verdict);
        }
    }

    private void grant(ClaimCall call, CompletableFuture<ClaimDecision> decision) {
        boolean usable = attempts.granted(call.attemptId(), timers.nanoTime());
        if (usable && decision.complete(ClaimDecision.granted())) {
            timeline.record(EventType.CLAIM_GRANTED, attempt(call));
            return;
        }
        giveUp(call, decision);
    }

    /** Makes sure that the attempt is never sent before its caller is told so. */
    private void giveUp(ClaimCall call, CompletableFuture<ClaimDecision> decision) {
        if (!attempts.abandon(call.attemptId())) {
            return;
        }
        refuse(call, ResultCode.CLAIM_UNAVAILABLE, decision);
        outbox.put(settleRequest(call, ClaimOutcome.notRun()), timers.nanoTime());
    }

    private void refuse(ClaimCall call, ResultCode code, CompletableFuture<ClaimDecision> decision) {
        attempts.abandon(call.attemptId());
        if (decision.complete(ClaimDecision.refused(code))) {
            timeline.record(EventType.CLAIM_REFUSED, attempt(call).with(EventField.RESULT, code));
        }
    }

    private static EventFields attempt(ClaimCall call) {
        return EventFields.of(EventField.ATTEMPT_ID, call.attemptId());
    }

    private CompletableFuture<Void> startSettle(ClaimCall call, ClaimOutcome outcome) {
        long now = timers.nanoTime();
        if (outcome.kind() == ClaimOutcome.Kind.NOT_RUN) {
            attempts.notRun(call.attemptId());
        }
        CompletableFuture<Void> waiter = new CompletableFuture<>();
        deadlines.add(
                waiter,
                now + settings.settleTimeout().toNanos(),
                () -> waiter.completeExceptionally(BaobabcartException.of(
                        ResultCode.WRITE_OUTCOME_UNKNOWN, "the outcome is stored in the background")));
        outbox.put(settleRequest(call, outcome), now).thenRun(() -> {
            if (outcome.kind() != ClaimOutcome.Kind.NOT_RUN) {
                attempts.forget(call.attemptId());
            }
            timeline.record(EventType.CLAIM_SETTLED, attempt(call).with(EventField.OUTCOME, outcome.kind()));
            waiter.complete(null);
        });
        return waiter;
    }

    private CompletableFuture<Boolean> sendSettle(SettleRequest request) {
        long deadline = timers.nanoTime() + settings.settleTimeout().toNanos();
        Member owner = plan.owner(
                ClaimServer.partition(request.getWorkspace(), request.getServiceName(), request.getIdempotencyKey()));
        if (plan.isSelf(owner)) {
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
                .map(Replies::toKept)
                .map(Replies::toReply)
                .map(Replies::toWire)
                .ifPresent(request::setAnswer);
        return request;
    }

    private void membersChanged(Members members) {
        plan = new PartitionPlan(members);
    }

    private void tick() {
        long now = timers.nanoTime();
        deadlines.tick(now);
        server.tick(now);
        outbox.tick(now);
        if (stopping && outbox.size() == 0) {
            stopped.complete(null);
        }
    }

    private void stopLate() {
        LOGGER.atWarning().log("event=claims-not-settled count=%d", outbox.size());
        stopped.complete(null);
    }

    private void lost(SettleRequest request) {
        LOGGER.atSevere().log("event=claim-outcome-lost attempt=%s", request.getAttemptId());
    }

    private static boolean conclusive(ClaimReply reply) {
        return reply.getVerdict() != ClaimVerdict.UNAVAILABLE && reply.getVerdict() != ClaimVerdict.NOT_OWNER;
    }

    private static CompletableFuture<ClaimReply> completed(ClaimReply reply) {
        return CompletableFuture.completedFuture(reply);
    }

    private static Duration shorter(Duration first, Duration second) {
        return first.compareTo(second) < 0 ? first : second;
    }
}
