package org.baobabcart.router.traffic;

import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Uni;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.model.request.Bill;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.Service;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.policy.rollout.VersionOutcome;
import org.baobabcart.policy.session.SessionKey;
import org.baobabcart.policy.session.SessionSigner;
import org.baobabcart.router.bill.BillService;
import org.baobabcart.router.claim.ClaimCall;
import org.baobabcart.router.claim.ClaimDecision;
import org.baobabcart.router.claim.ClaimOutcome;
import org.baobabcart.router.claim.ClaimService;
import org.baobabcart.router.crash.CrashLedger;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;
import org.baobabcart.router.view.TrafficFeedback;
import org.baobabcart.router.view.TrafficView;

/** Fake dependencies of the caller API that record what they receive. */
final class FakeDependencies implements ClaimService, BillService, TrafficFeedback, Timeline, RatingClient {
    final List<Bill> bills = new CopyOnWriteArrayList<>();
    final List<Double> latencyLosses = new CopyOnWriteArrayList<>();
    final List<ClaimOutcome> outcomes = new CopyOnWriteArrayList<>();
    final CrashLedger crashes = CrashLedger.create("r1", 0, System::nanoTime, this);
    final List<String> versionOutcomes = new CopyOnWriteArrayList<>();
    final List<String> unreachable = new CopyOnWriteArrayList<>();
    final Map<String, ReplyEntry> stored = new ConcurrentHashMap<>();
    final MetricRegistry metrics = new MetricRegistry();
    volatile TrafficView view = TrafficView.empty();
    volatile Optional<ResultCode> claimRefusal = Optional.empty();
    volatile boolean dispatchable = true;
    private final Set<String> dispatched = ConcurrentHashMap.newKeySet();
    volatile Uni<BillHolder> billResult = Uni.createFrom().item(BillHolder.PEER);
    volatile OptionalDouble rating = OptionalDouble.empty();

    /** A reply stored under an idempotency key. */
    record ReplyEntry(org.baobabcart.router.claim.StoredReply reply) {}

    TrafficDependencies dependencies() {
        SessionKey key = new SessionKey("k1", "secret of the test".getBytes(StandardCharsets.UTF_8));
        SessionSigner signer = SessionSigner.of(List.of(key));
        return new TrafficDependencies(() -> view, this, this, this, crashes, this, metrics, this, () -> signer);
    }

    void setView(Sheet sheet, VirtualMachine... upstreams) {
        PublishedSheet published = new PublishedSheet(1, "p", "test", 0, sheet);
        view = new TrafficView(Optional.of(published), RollOutState.empty(), List.of(upstreams), false);
    }

    @Override
    public Uni<ClaimDecision> claim(ClaimCall call, Service service, Duration timeout) {
        ReplyEntry entry = stored.get(call.idempotencyKey());
        if (entry != null) {
            return Uni.createFrom().item(ClaimDecision.replay(entry.reply()));
        }
        return Uni.createFrom().item(claimRefusal.map(ClaimDecision::refused).orElseGet(ClaimDecision::granted));
    }

    @Override
    public boolean beginDispatch(String attemptId) {
        return dispatchable && dispatched.add(attemptId);
    }

    @Override
    public void cancelDispatch(String attemptId) {
        dispatched.remove(attemptId);
    }

    @Override
    public Uni<Void> settle(ClaimCall call, ClaimOutcome outcome) {
        outcome.answer().ifPresent(reply -> stored.put(call.idempotencyKey(), new ReplyEntry(reply)));
        outcomes.add(outcome);
        return Uni.createFrom().voidItem();
    }

    @Override
    public Uni<BillHolder> hold(Bill bill) {
        bills.add(bill);
        return billResult;
    }

    @Override
    public void unreachable(String upstream) {
        unreachable.add(upstream);
    }

    @Override
    public void outcome(String model, String version, VersionOutcome outcome) {
        versionOutcomes.add(model + "@" + version + " " + outcome.success() + " " + outcome.rating());
        outcome.latencyLoss().ifPresent(latencyLosses::add);
    }

    @Override
    public void record(EventType type, String requestId, EventFields fields) {}

    @Override
    public Uni<OptionalDouble> rate(RatingRequest request) {
        return Uni.createFrom().item(rating);
    }
}
