package org.baobabcart.router.claim;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.baobabcart.policy.claim.Claim;
import org.baobabcart.policy.claim.ClaimConflictDecision;
import org.baobabcart.policy.claim.ClaimConflictDecision.ClaimantReport;
import org.baobabcart.policy.claim.ClaimKey;
import org.baobabcart.policy.claim.ClaimOperation;
import org.baobabcart.policy.claim.ClaimResult;
import org.baobabcart.policy.claim.PartitionOwnerSelector;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.peer.PeerClient;
import org.baobabcart.router.platform.ObjectStore;
import org.baobabcart.wire.AttemptReply;
import org.baobabcart.wire.AttemptRequest;
import org.baobabcart.wire.ClaimReply;
import org.baobabcart.wire.ClaimRequest;
import org.baobabcart.wire.ClaimVerdict;
import org.baobabcart.wire.SettleReply;
import org.baobabcart.wire.SettleRequest;

/**
 * Processes claims and outcomes on this node by writing the journals of their partitions. Thread-safe.
 *
 * <p>It accepts requests for any partition, whether or not this node owns it. Two nodes that write the same journal
 * cause conflicts and additional reads, but never grant a key twice.
 */
final class ClaimServer {
    private static final long MILLIS_PER_SECOND = 1000;
    private static final int MAXIMUM_TAKE_OVERS = 3;

    private final ObjectStore store;
    private final PeerClient peers;
    private final TimerService timers;
    private final ClaimSettings settings;
    private final ClaimMetrics metrics;
    private final AttemptRegistry attempts;
    private final Supplier<PartitionAssignment> assignment;
    private final Map<String, PartitionWriter> writers = new ConcurrentHashMap<>();

    ClaimServer(
            ObjectStore store,
            PeerClient peers,
            TimerService timers,
            ClaimSettings settings,
            ClaimMetrics metrics,
            AttemptRegistry attempts,
            Supplier<PartitionAssignment> assignment) {
        this.store = store;
        this.peers = peers;
        this.timers = timers;
        this.settings = settings;
        this.metrics = metrics;
        this.attempts = attempts;
        this.assignment = assignment;
    }

    /** Returns the name of the journal that stores a key. */
    static String partition(String workspace, String service, String idempotencyKey) {
        int number = ClaimKey.of(workspace, service, idempotencyKey).partition(PartitionOwnerSelector.PARTITIONS);
        return "partition-%03d".formatted(number);
    }

    CompletableFuture<ClaimReply> claim(ClaimRequest request) {
        ClaimOperation.Acquire acquire = new ClaimOperation.Acquire(
                ClaimKey.of(request.getWorkspace(), request.getServiceName(), request.getIdempotencyKey()),
                request.getCallDigest(),
                request.getAttemptId(),
                request.getClaimantNodeId(),
                request.getRetentionSeconds() * MILLIS_PER_SECOND,
                Optional.empty());
        long deadline = timers.nanoTime()
                + Duration.ofMillis(request.getTimeoutMillis()).toNanos();
        String partition = partition(request.getWorkspace(), request.getServiceName(), request.getIdempotencyKey());
        return acquire(writer(partition), acquire, deadline, MAXIMUM_TAKE_OVERS);
    }

    CompletableFuture<SettleReply> settle(SettleRequest request, long deadlineNanos) {
        String partition = partition(request.getWorkspace(), request.getServiceName(), request.getIdempotencyKey());
        return writer(partition).submit(toOperation(request), deadlineNanos).thenApply(result -> {
            boolean stored = result.kind() != ClaimResult.Kind.UNAVAILABLE;
            return new SettleReply(stored);
        });
    }

    void tick(long nowNanos) {
        writers.values().forEach(writer -> writer.tick(nowNanos));
    }

    private PartitionWriter writer(String partition) {
        return writers.computeIfAbsent(partition, name -> new PartitionWriter(name, store, timers, metrics, settings));
    }

    private CompletableFuture<ClaimReply> acquire(
            PartitionWriter writer, ClaimOperation.Acquire acquire, long deadlineNanos, int takeOversLeft) {
        return writer.submit(acquire, deadlineNanos).thenCompose(result -> switch (result.kind()) {
            case GRANTED -> reply(ClaimVerdict.GRANTED);
            case REPLAY -> replay(result.claim().orElseThrow());
            case HELD -> resolveHeldClaim(writer, acquire, result.claim().orElseThrow(), deadlineNanos, takeOversLeft);
            case OUTCOME_UNKNOWN -> reply(ClaimVerdict.OUTCOME_UNKNOWN);
            case KEY_REUSED -> reply(ClaimVerdict.KEY_REUSED);
            case STORED, NO_CLAIM, UNAVAILABLE -> reply(ClaimVerdict.UNAVAILABLE);
        });
    }

    private CompletableFuture<ClaimReply> resolveHeldClaim(
            PartitionWriter writer,
            ClaimOperation.Acquire acquire,
            Claim claim,
            long deadlineNanos,
            int takeOversLeft) {
        return claimantReport(claim).thenCompose(report -> switch (ClaimConflictDecision.of(
                claim, acquire.callDigest(), report)) {
            case TAKE_OVER ->
                takeOversLeft > 0
                        ? acquire(writer, acquire.replacing(claim.attemptId()), deadlineNanos, takeOversLeft - 1)
                        : reply(ClaimVerdict.UNAVAILABLE);
            case IN_PROGRESS -> reply(ClaimVerdict.IN_PROGRESS);
            case OUTCOME_UNKNOWN -> reply(ClaimVerdict.OUTCOME_UNKNOWN);
            case KEY_REUSED -> reply(ClaimVerdict.KEY_REUSED);
        });
    }

    private CompletableFuture<ClaimantReport> claimantReport(Claim claim) {
        if (assignment.get().isSelf(claim.claimant())) {
            return CompletableFuture.completedFuture(attempts.report(claim.attemptId(), timers.nanoTime()));
        }
        return assignment
                .get()
                .member(claim.claimant())
                .filter(member -> member.state() != Member.State.DEAD)
                .map(member -> askClaimant(member, claim.attemptId()))
                .orElse(CompletableFuture.completedFuture(ClaimantReport.UNREACHABLE));
    }

    private CompletableFuture<ClaimantReport> askClaimant(Member claimant, String attemptId) {
        Uni<AttemptReply> reply =
                peers.attemptState(claimant.peerAddress(), new AttemptRequest(attemptId), settings.claimantTimeout());
        return reply.map(ClaimServer::toReport)
                .onFailure()
                .recoverWithItem(ClaimantReport.UNREACHABLE)
                .subscribeAsCompletionStage();
    }

    private static ClaimantReport toReport(AttemptReply reply) {
        return switch (reply.getState()) {
            case UNSEEN -> ClaimantReport.UNSEEN;
            case WAITING -> ClaimantReport.WAITING;
            case DISPATCHED -> ClaimantReport.DISPATCHED;
            case ABANDONED -> ClaimantReport.ABANDONED;
        };
    }

    private static ClaimOperation toOperation(SettleRequest request) {
        ClaimKey key = ClaimKey.of(request.getWorkspace(), request.getServiceName(), request.getIdempotencyKey());
        return switch (request.getOutcome()) {
            case FINISHED ->
                new ClaimOperation.Finish(key, request.getAttemptId(), ReplyCodec.toJournaled(request.getAnswer()));
            case NOT_RUN -> new ClaimOperation.Release(key, request.getAttemptId());
            case UNKNOWN -> new ClaimOperation.MarkUnknown(key, request.getAttemptId());
        };
    }

    private static CompletableFuture<ClaimReply> replay(Claim claim) {
        ClaimReply reply = new ClaimReply(ClaimVerdict.REPLAY);
        reply.setAnswer(ReplyCodec.toWire(ReplyCodec.toReply(claim.answer().orElseThrow())));
        return CompletableFuture.completedFuture(reply);
    }

    private static CompletableFuture<ClaimReply> reply(ClaimVerdict verdict) {
        return CompletableFuture.completedFuture(new ClaimReply(verdict));
    }
}
