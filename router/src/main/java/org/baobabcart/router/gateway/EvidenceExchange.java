package org.baobabcart.router.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.policy.version.ServiceEvidence;
import org.baobabcart.policy.version.VersionOutcomeRecorder;
import org.baobabcart.router.platform.InformerSettings;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.platform.OwnedObjectWriter;

/**
 * Shares the outcomes of target versions between routers through the platform's store. Confined to the control thread.
 *
 * <p>Each router keeps one object per service and updates it periodically while a target is on trial. Only the router that
 * reviews a move reads these objects, so that the number of calls grows linearly with the number of routers, not with its
 * square. A report contains request counts, so the reports that have arrived are meaningful even if others are late.
 */
final class EvidenceExchange {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Allows two reports in the shortest trial. Not shorter, since each report is a call to the platform that costs money. */
    private static final Duration REPORT_PERIOD = Duration.ofMillis(1_200);

    private final String router;
    private final ObjectInformer.Dependencies dependencies;
    private final VersionOutcomeRecorder outcomeRecorder;
    private final Map<String, OwnedObjectWriter> writers = new HashMap<>();
    private final Map<String, Long> dueNanos = new HashMap<>();
    private Map<String, StoredEvidence> reports = Map.of();
    private Optional<ObjectInformer<StoredEvidence>> informer = Optional.empty();

    /** A report and the object that holds it. */
    private record StoredEvidence(StoredObject object, EvidenceReport report) {
        static Optional<StoredEvidence> decode(StoredObject object) {
            return Optional.of(new StoredEvidence(object, EvidenceReport.fromJson(object.spec())));
        }
    }

    private EvidenceExchange(
            String router, ObjectInformer.Dependencies dependencies, VersionOutcomeRecorder outcomeRecorder) {
        this.router = router;
        this.dependencies = dependencies;
        this.outcomeRecorder = outcomeRecorder;
    }

    /**
     * Creates an exchange that neither writes nor reads yet.
     *
     * @param router the name of this router
     * @param outcomeRecorder records the outcomes that this router observes
     */
    static EvidenceExchange create(
            String router, ObjectInformer.Dependencies dependencies, VersionOutcomeRecorder outcomeRecorder) {
        return new EvidenceExchange(router, dependencies, outcomeRecorder);
    }

    /** Writes this router's report on an order whose target is on trial, if a report is due. */
    void report(VersionOrder order) {
        String service = order.service();
        long now = dependencies.timers().nanoTime();
        Long due = dueNanos.computeIfAbsent(
                service, ignored -> now + dependencies.random().nextLong(REPORT_PERIOD.toNanos()));
        OwnedObjectWriter writer = writers.computeIfAbsent(
                service,
                key -> OwnedObjectWriter.create(
                        dependencies.store(),
                        dependencies.loop(),
                        EvidenceReport.KIND,
                        EvidenceReport.name(service, router)));
        if (now - due < 0 || writer.isPending()) {
            return;
        }
        dueNanos.put(service, now + REPORT_PERIOD.toNanos());
        EvidenceReport report = EvidenceReport.of(order, outcomeRecorder.evidence(service, now));
        writer.write(report.toJson(), new OwnedObjectWriter.Listener() {
            @Override
            public void conflicted() {
                dueNanos.put(service, dependencies.timers().nanoTime());
            }
        });
    }

    /** Starts reading the reports of all routers; does nothing if already started. */
    void startReading() {
        if (informer.isPresent()) {
            return;
        }
        ObjectInformer<StoredEvidence> reading = ObjectInformer.create(
                EvidenceReport.KIND,
                dependencies,
                InformerSettings.defaults(),
                StoredEvidence::decode,
                found -> reports = found);
        informer = Optional.of(reading);
        reading.start();
    }

    /** Stops reading reports and discards those read; does nothing if not started. */
    void stopReading() {
        informer.ifPresent(ObjectInformer::stop);
        informer = Optional.empty();
        reports = Map.of();
    }

    /** Returns whether the existing reports have been read. */
    boolean isSynced() {
        return informer.filter(ObjectInformer::isSynced).isPresent();
    }

    /** Returns the outcomes that all routers have observed since this order's trial began, as far as their reports were read. */
    ServiceEvidence pooled(VersionOrder order) {
        String ownName = EvidenceReport.name(order.service(), router);
        return reportsOn(order.service())
                .filter(stored -> !stored.object().name().equals(ownName))
                .map(StoredEvidence::report)
                .filter(report -> report.isFor(order))
                .map(EvidenceReport::evidence)
                .reduce(
                        outcomeRecorder.evidence(
                                order.service(), dependencies.timers().nanoTime()),
                        ServiceEvidence::plus);
    }

    private Stream<StoredEvidence> reportsOn(String service) {
        String prefix = EvidenceReport.name(service, "");
        return reports.values().stream().filter(stored -> stored.object().name().startsWith(prefix));
    }

    /** Deletes reports on earlier orders of a service, left behind by routers that no longer run. */
    void removeOutdated(VersionOrder order) {
        reportsOn(order.service())
                .filter(stored -> !stored.report().isFor(order))
                .map(StoredEvidence::object)
                .forEach(object -> dependencies
                        .store()
                        .delete(object)
                        .subscribe()
                        .with(
                                ignored -> {},
                                failure -> LOGGER.atInfo().log(
                                        "event=evidence_not_removed name=%s cause=%s",
                                        object.name(), failure.getMessage())));
    }
}
