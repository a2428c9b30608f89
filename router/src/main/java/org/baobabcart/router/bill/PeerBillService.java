package org.baobabcart.router.bill;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.baobabcart.model.request.Bill;
import org.baobabcart.model.request.RequestIds;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.bill.BillBuffer;
import org.baobabcart.policy.bill.BillSegment;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.DeadlineSweep;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.Members;
import org.baobabcart.router.peer.BillHandler;
import org.baobabcart.router.peer.PeerClient;
import org.baobabcart.router.platform.ObjectStore;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;
import org.baobabcart.wire.HoldReply;
import org.baobabcart.wire.HoldRequest;
import org.baobabcart.wire.ReleaseReply;
import org.baobabcart.wire.ReleaseRequest;

/**
 * Passes each bill to another router, which commits it to the platform in a batch. Thread-safe; calls to peers and to
 * the platform are made outside the lock.
 *
 * <p>At most one offer to a peer and one segment write to the platform are in progress at a time; bills that arrive
 * meanwhile are included in the next one. A router that finds no peer commits its bills itself; if the platform fails
 * too, requests no longer wait for a holder.
 */
public final class PeerBillService implements BillService, BillHandler, Controller {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Blackboard blackboard;
    private final TimerService timers;
    private final ObjectStore store;
    private final PeerClient peers;
    private final Timeline timeline;
    private final BillMetrics metrics;
    private final BillSettings settings;
    private final DeadlineSweep deadlines = DeadlineSweep.create();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    private final BillBuffer buffer = BillBuffer.create();
    private final Map<String, CompletableFuture<BillHolder>> waiters = new HashMap<>();
    private boolean offering;
    private boolean committing;
    private boolean platformFailed;
    private boolean holderUnavailable;
    private boolean flushRequested;
    private boolean stopping;
    private long nextOfferNanos;
    private long nextCommitNanos;
    private volatile BillHolderCandidates candidates = new BillHolderCandidates(Sections.MEMBERS.initial());

    private PeerBillService(
            Blackboard blackboard,
            TimerService timers,
            ObjectStore store,
            PeerClient peers,
            Timeline timeline,
            MetricRegistry registry,
            BillSettings settings) {
        this.blackboard = blackboard;
        this.timers = timers;
        this.store = store;
        this.peers = peers;
        this.timeline = timeline;
        this.metrics = new BillMetrics(registry);
        this.settings = settings;
        this.nextOfferNanos = timers.nanoTime();
        this.nextCommitNanos = nextOfferNanos;
    }

    /** Creates a service that is not started. */
    public static PeerBillService create(
            Blackboard blackboard,
            TimerService timers,
            ObjectStore store,
            PeerClient peers,
            Timeline timeline,
            MetricRegistry registry,
            BillSettings settings) {
        return new PeerBillService(blackboard, timers, store, peers, timeline, registry, settings);
    }

    @Override
    public void start() {
        membersChanged(blackboard.read(Sections.MEMBERS));
        blackboard.subscribe(Sections.MEMBERS, this::membersChanged);
        timers.every("bills", settings.tickPeriod(), this::tick);
    }

    /** Commits the bills held here or hands them over. Completes when that is done or after the stop time-out. */
    @Override
    public Uni<Void> stop() {
        return Uni.createFrom().completionStage(() -> {
            synchronized (this) {
                stopping = true;
                buffer.requeueHeldBills();
            }
            deadlines.add(stopped, timers.nanoTime() + settings.stopTimeout().toNanos(), this::onStopTimeout);
            tick();
            return stopped;
        });
    }

    @Override
    public Uni<BillHolder> hold(Bill bill) {
        return Uni.createFrom().completionStage(() -> startHold(bill));
    }

    @Override
    public Uni<HoldReply> holdBills(HoldRequest request) {
        return Uni.createFrom().item(() -> {
            List<Bill> bills = BillCodec.fromWire(request.getBills());
            synchronized (this) {
                int held = buffer.hold(request.getHolderFor(), bills, timers.nanoTime());
                return new HoldReply(held);
            }
        });
    }

    @Override
    public Uni<ReleaseReply> releaseBills(ReleaseRequest request) {
        return Uni.createFrom().item(() -> new ReleaseReply(release(request.getRequestIds())));
    }

    private CompletableFuture<BillHolder> startHold(Bill bill) {
        CompletableFuture<BillHolder> holder = new CompletableFuture<>();
        holder.thenAccept(metrics::recordHolder);
        boolean wait;
        synchronized (this) {
            boolean kept = buffer.add(bill);
            if (!kept) {
                metrics.recordLoss();
                LOGGER.atSevere().log("event=bill-lost request=%s reason=no-room", bill.requestId());
            }
            wait = kept && !holderUnavailable;
            if (wait) {
                waiters.put(bill.requestId(), holder);
            }
        }
        if (wait) {
            long deadline = timers.nanoTime() + settings.holdTimeout().toNanos();
            deadlines.add(holder, deadline, () -> completeWaiters(List.of(bill.requestId()), BillHolder.NOBODY));
        } else {
            holder.complete(BillHolder.NOBODY);
        }
        offer();
        return holder;
    }

    /**
     * Offers this router's bills to other routers in turn until one accepts all of them. During the pause after an
     * offer that no router accepted, commits them locally instead.
     */
    private void offer() {
        List<Bill> bills;
        boolean paused;
        synchronized (this) {
            bills = buffer.billsToOffer();
            paused = timers.nanoTime() - nextOfferNanos < 0;
            if (offering || bills.isEmpty() || paused && platformFailed) {
                return;
            }
            offering = !paused;
        }
        if (paused) {
            holdLocally(bills);
        } else {
            offer(bills, candidates.ranked());
        }
    }

    private void offer(List<Bill> bills, List<Member> holders) {
        if (holders.isEmpty()) {
            pauseOffers();
            holdLocally(bills);
            return;
        }
        metrics.recordOffer();
        HoldRequest request = new HoldRequest(candidates.selfId(), BillCodec.toWire(bills));
        peers.holdBills(holders.get(0).peerAddress(), request, settings.peerTimeout())
                .subscribe()
                .with(
                        reply -> onOfferAnswered(bills, holders, reply.getHeld() >= bills.size()),
                        failure -> onOfferAnswered(bills, holders, false));
    }

    private void onOfferAnswered(List<Bill> bills, List<Member> holders, boolean accepted) {
        if (!accepted) {
            offer(bills, holders.subList(1, holders.size()));
            return;
        }
        synchronized (this) {
            buffer.offerAccepted(bills, timers.nanoTime());
            offering = false;
            holderUnavailable = false;
        }
        completeWaiters(ids(bills), BillHolder.PEER);
        offer();
    }

    private synchronized void pauseOffers() {
        offering = false;
        nextOfferNanos = timers.nanoTime() + settings.retryPeriod().toNanos();
    }

    /**
     * Holds the bills locally because no router accepts them; this router commits them unless another one accepts them
     * after the pause.
     */
    private void holdLocally(List<Bill> bills) {
        boolean noHolder;
        synchronized (this) {
            noHolder = platformFailed;
            holderUnavailable = noHolder;
            flushRequested = true;
            buffer.hold(candidates.selfId(), bills, timers.nanoTime());
        }
        if (noHolder) {
            completeWaiters(ids(bills), BillHolder.NOBODY);
        }
        commit();
    }

    private void commit() {
        Optional<BillSegment> segment;
        synchronized (this) {
            long now = timers.nanoTime();
            if (committing || now - nextCommitNanos < 0) {
                return;
            }
            segment =
                    buffer.nextSegment(now, candidates.selfId() + "-" + RequestIds.next(), flushRequested || stopping);
            committing = segment.isPresent();
            flushRequested &= !committing;
        }
        segment.ifPresent(this::create);
    }

    private void create(BillSegment segment) {
        metrics.recordSegment(segment.bills().size());
        store.create(BillCodec.toObject(segment))
                .subscribe()
                .with(object -> committed(segment), failure -> commitFailed(segment, failure));
    }

    /**
     * Handles a failed write. If the name already exists, an earlier attempt whose answer was lost has created the
     * segment.
     */
    private void commitFailed(BillSegment segment, Throwable failure) {
        if (failure instanceof BaobabcartException exception && exception.code() == ResultCode.CONFLICT) {
            committed(segment);
            return;
        }
        synchronized (this) {
            committing = false;
            platformFailed = true;
            nextCommitNanos = timers.nanoTime() + settings.retryPeriod().toNanos();
        }
    }

    private void committed(BillSegment segment) {
        Map<String, List<String>> releases;
        synchronized (this) {
            committing = false;
            platformFailed = false;
            holderUnavailable = false;
            nextCommitNanos = timers.nanoTime() + settings.tickPeriod().toNanos();
            buffer.segmentCommitted(segment);
            releases = buffer.takeReleases();
        }
        timeline.record(
                EventType.BILL_COMMITTED,
                EventFields.of(EventField.SEGMENT, segment.name())
                        .with(EventField.BILLS, segment.bills().size()));
        completeWaiters(ids(segment.bills()), BillHolder.PLATFORM);
        releases.forEach(this::sendRelease);
        commit();
    }

    private void sendRelease(String origin, List<String> requestIds) {
        candidates
                .address(origin)
                .ifPresent(address -> peers.releaseBills(
                                address, new ReleaseRequest(requestIds), settings.peerTimeout())
                        .subscribe()
                        .with(
                                reply -> {},
                                failure -> LOGGER.atInfo().log(
                                        "event=bill-release-failed origin=%s count=%d", origin, requestIds.size())));
    }

    private int release(Collection<String> requestIds) {
        int count;
        synchronized (this) {
            count = buffer.release(requestIds);
        }
        completeWaiters(requestIds, BillHolder.PLATFORM);
        return count;
    }

    private void completeWaiters(Collection<String> requestIds, BillHolder holder) {
        List<CompletableFuture<BillHolder>> completed = new ArrayList<>();
        synchronized (this) {
            for (String requestId : requestIds) {
                CompletableFuture<BillHolder> waiter = waiters.remove(requestId);
                if (waiter != null) {
                    completed.add(waiter);
                }
            }
        }
        completed.forEach(waiter -> waiter.complete(holder));
    }

    private void tick() {
        long now = timers.nanoTime();
        deadlines.runExpired(now);
        Map<String, List<String>> releases;
        boolean done;
        synchronized (this) {
            buffer.requeueOverdueOffers(now);
            releases = buffer.takeReleases();
            done = stopping && buffer.unreplicatedCount() == 0 && (buffer.heldCount() == 0 || platformFailed);
        }
        releases.forEach(this::sendRelease);
        if (done) {
            stopped.complete(null);
        }
        offer();
        commit();
    }

    private void onStopTimeout() {
        synchronized (this) {
            LOGGER.atSevere().log(
                    "event=bills-not-handed-over own=%d held=%d", buffer.unreplicatedCount(), buffer.heldCount());
        }
        stopped.complete(null);
    }

    private void membersChanged(Members members) {
        candidates = new BillHolderCandidates(members);
    }

    private static List<String> ids(Collection<Bill> bills) {
        return bills.stream().map(Bill::requestId).toList();
    }
}
