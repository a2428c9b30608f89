package org.baobabcart.router.crash;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.policy.crash.CrashReport;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.platform.InformerSettings;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.platform.OwnedObjectWriter;

/**
 * Shares crash reports between routers through the platform's store. Confined to the control thread.
 *
 * <p>Each router keeps one object, which it writes only when it has news, and follows the objects of all routers. What several
 * routers can report is written after a random delay, and by those only that have not read it from another until then. Objects stay when
 * their router ends, so that a quarantine outlives the routers.
 */
public final class StoredCrashReports implements Controller {
    /** The kind of the stored objects; there is one object per router. */
    public static final String KIND = "crash-reports";

    /** The failures of all requests that were at a crashed upstream arrive within this time. */
    private static final Duration OWN_DELAY = Duration.ofMillis(20);
    /** Several times as long as a report takes to reach the other routers. */
    private static final Duration COMMON_DELAY = Duration.ofMillis(200);

    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final CrashLedger ledger;
    private final ObjectInformer.Dependencies dependencies;
    private final OwnedObjectWriter writer;
    private final ObjectInformer<StoredReport> informer;
    private final Map<String, String> versions = new HashMap<>();
    private boolean read;
    private Optional<TimerService.Subscription> scheduled = Optional.empty();
    private long scheduledNanos;
    private boolean stopped;

    private StoredCrashReports(String router, CrashLedger ledger, ObjectInformer.Dependencies dependencies) {
        this.ledger = ledger;
        this.dependencies = dependencies;
        this.writer = OwnedObjectWriter.create(dependencies.store(), dependencies.loop(), KIND, router);
        this.informer = ObjectInformer.create(
                KIND, dependencies, InformerSettings.defaults(), StoredCrashReports::decode, this::onReports);
    }

    /** A report and the version of the object that holds it. */
    private record StoredReport(CrashReport report, String version) {}

    private static Optional<StoredReport> decode(StoredObject object) {
        CrashReport report = CrashReportJson.read(object.name(), object.spec());
        return Optional.of(new StoredReport(report, object.resourceVersion()));
    }

    /** Creates a controller that neither reads nor writes yet. */
    public static StoredCrashReports create(
            String router, CrashLedger ledger, ObjectInformer.Dependencies dependencies) {
        return new StoredCrashReports(router, ledger, dependencies);
    }

    @Override
    public void start() {
        informer.start();
        ledger.onReportChanged(() -> dependencies.loop().execute(this::schedule));
        dependencies.timers().every("crash-review", CrashLedger.REVIEW_PERIOD, ledger::review);
    }

    private void onReports(Map<String, StoredReport> reports) {
        boolean old = !read;
        read = true;
        reports.forEach((name, stored) -> {
            String before = versions.put(name, stored.version());
            if (!stored.version().equals(before)) {
                ledger.receive(stored.report(), old);
            }
        });
        versions.keySet().retainAll(reports.keySet());
    }

    private void schedule() {
        switch (ledger.news()) {
            case OWN -> writeAfter(OWN_DELAY);
            case COMMON ->
                writeAfter(OWN_DELAY.plus(Duration.ofNanos(dependencies.random().nextLong(COMMON_DELAY.toNanos()))));
            default -> {}
        }
    }

    /** Schedules a write unless an earlier one is scheduled or one is under way, after which the news is looked at again. */
    private void writeAfter(Duration delay) {
        long due = dependencies.timers().nanoTime() + delay.toNanos();
        boolean earlier = scheduled.isPresent() && scheduledNanos - due <= 0;
        if (stopped || writer.isPending() || earlier) {
            return;
        }
        scheduled.ifPresent(TimerService.Subscription::cancel);
        scheduledNanos = due;
        scheduled = Optional.of(dependencies.timers().after("crash-report", delay, this::write));
    }

    private void write() {
        scheduled = Optional.empty();
        if (ledger.news() != CrashLedger.News.NONE) {
            writer.write(CrashReportJson.write(ledger.report()), new ReportListener());
        }
    }

    private final class ReportListener implements OwnedObjectWriter.Listener {
        @Override
        public void written() {
            schedule();
        }

        @Override
        public void conflicted() {
            ledger.reportAgain();
            schedule();
        }

        @Override
        public void failed() {
            ledger.reportAgain();
            writeAfter(RETRY_DELAY);
        }
    }

    @Override
    public Uni<Void> stop() {
        stopped = true;
        informer.stop();
        return Uni.createFrom().voidItem();
    }
}
