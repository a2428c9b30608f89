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
import org.baobabcart.policy.bill.BillBook;
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
 * Has another router hold each bill, which commits it to the platform together with others. Thread-safe; calls to peers
 * and to the platform are made outside the lock.
 *
 * <p>One offer to a peer and one segment to the platform are under way at a time; bills that arrive meanwhile go with the
 * next. A router that finds no peer commits its bills itself, and while that fails too, requests do not wait for it.
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

    private final BillBook book = BillBook.create();
    private final Map<String, CompletableFuture<BillHolder>> waiters = new HashMap<>();
    private boolean offering;
    private boolean committing;
    private boolean platformFailed;
    private boolean alone;
    private boolean flushWanted;
    private boolean stopping;
    private long nextOfferNanos;
    private long nextCommitNanos;
    private volatile HolderPlan plan = new HolderPlan(Sections.MEMBERS.initial());

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

    /** A service that takes part in bills once it is started. */
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
        timers.every("bills", settings.tick(), this::tick);
    }

    /** Commits what it holds, or hands it over; completes when that is done or after a bound. */
    @Override
    public Uni<Void> stop() {
        return Uni.createFrom().completionStage(() -> {
            synchronized (this) {
                stopping = true;
                book.requeueHeldBills();
            }
            deadlines.add(stopped, timers.nanoTime() + settings.stopTimeout().toNanos(), this::stopLate);
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
                int held = book.hold(request.getHolderFor(), bills, timers.nanoTime());
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
        holder.thenAccept(metrics::held);
        boolean wait;
        synchronized (this) {
            boolean kept = book.add(bill);
            if (!kept) {
                metrics.lost();
                LOGGER.atSevere().log("event=bill-lost request=%s reason=no-room", bill.requestId());
            }
            wait = kept && !alone;
            if (wait) {
                waiters.put(bill.requestId(), holder);
            }
        }
        if (wait) {
            long deadline = timers.nanoTime() + settings.holdTimeout().toNanos();
            deadlines.add(holder, deadline, () -> tell(List.of(bill.requestId()), BillHolder.NOBODY));
        } else {
            holder.complete(BillHolder.NOBODY);
        }
        offer();
        return holder;
    }

    /** Offers own bills to the first router that takes them all; while none took the last ones, commits them here. */
    private void offer() {
        List<Bill> bills;
        boolean paused;
        synchronized (this) {
            bills = book.billsToOffer();
            paused = timers.nanoTime() - nextOfferNanos < 0;
            if (offering || bills.isEmpty() || paused && platformFailed) {
                return;
            }
            offering = !paused;
        }
        if (paused) {
            keepHere(bills);
        } else {
            offer(bills, plan.holders());
        }
    }

    private void offer(List<Bill> bills, List<Member> holders) {
        if (holders.isEmpty()) {
            pauseOffers();
            keepHere(bills);
            return;
        }
        metrics.offered();
        HoldRequest request = new HoldRequest(plan.self(), BillCodec.toWire(bills));
        peers.holdBills(holders.get(0).peerAddress(), request, settings.peerTimeout())
                .subscribe()
                .with(
                        reply -> answered(bills, holders, reply.getHeld() >= bills.size()),
                        failure -> answered(bills, holders, false));
    }

    private void answered(List<Bill> bills, List<Member> holders, boolean held) {
        if (!held) {
            offer(bills, holders.subList(1, holders.size()));
            return;
        }
        synchronized (this) {
            book.offerAccepted(bills, timers.nanoTime());
            offering = false;
            alone = false;
        }
        tell(ids(bills), BillHolder.PEER);
        offer();
    }

    private synchronized void pauseOffers() {
        offering = false;
        nextOfferNanos = timers.nanoTime() + settings.retryPeriod().toNanos();
    }

    /** No router takes the bills: this one commits them, unless one takes them after the pause. */
    private void keepHere(List<Bill> bills) {
        boolean nobody;
        synchronized (this) {
            nobody = platformFailed;
            alone = nobody;
            flushWanted = true;
            book.hold(plan.self(), bills, timers.nanoTime());
        }
        if (nobody) {
            tell(ids(bills), BillHolder.NOBODY);
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
            segment = book.nextSegment(now, plan.self() + "-" + RequestIds.next(), flushWanted || stopping);
            committing = segment.isPresent();
            flushWanted &= !committing;
        }
        segment.ifPresent(this::create);
    }

    private void create(BillSegment segment) {
        metrics.segment(segment.bills().size());
        store.create(BillCodec.toObject(segment))
                .subscribe()
                .with(object -> committed(segment), failure -> commitFailed(segment, failure));
    }

    /** A name that exists already is that of an earlier try whose answer was lost. */
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
            alone = false;
            nextCommitNanos = timers.nanoTime() + settings.tick().toNanos();
            book.segmentCommitted(segment);
            releases = book.takeReleases();
        }
        timeline.record(
                EventType.BILL_COMMITTED,
                EventFields.of(EventField.SEGMENT, segment.name())
                        .with(EventField.BILLS, segment.bills().size()));
        tell(ids(segment.bills()), BillHolder.PLATFORM);
        releases.forEach(this::sendRelease);
        commit();
    }

    private void sendRelease(String origin, List<String> requestIds) {
        plan.address(origin)
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
            count = book.release(requestIds);
        }
        tell(requestIds, BillHolder.PLATFORM);
        return count;
    }

    private void tell(Collection<String> requestIds, BillHolder holder) {
        List<CompletableFuture<BillHolder>> told = new ArrayList<>();
        synchronized (this) {
            for (String requestId : requestIds) {
                CompletableFuture<BillHolder> waiter = waiters.remove(requestId);
                if (waiter != null) {
                    told.add(waiter);
                }
            }
        }
        told.forEach(waiter -> waiter.complete(holder));
    }

    private void tick() {
        long now = timers.nanoTime();
        deadlines.tick(now);
        Map<String, List<String>> releases;
        boolean done;
        synchronized (this) {
            book.requeueOverdueOffers(now);
            releases = book.takeReleases();
            done = stopping && book.unreplicatedCount() == 0 && (book.heldCount() == 0 || platformFailed);
        }
        releases.forEach(this::sendRelease);
        if (done) {
            stopped.complete(null);
        }
        offer();
        commit();
    }

    private void stopLate() {
        synchronized (this) {
            LOGGER.atSevere().log(
                    "event=bills-not-handed-over own=%d held=%d", book.unreplicatedCount(), book.heldCount());
        }
        stopped.complete(null);
    }

    private void membersChanged(Members members) {
        plan = new HolderPlan(members);
    }

    private static List<String> ids(Collection<Bill> bills) {
        return bills.stream().map(Bill::requestId).toList();
    }
}
