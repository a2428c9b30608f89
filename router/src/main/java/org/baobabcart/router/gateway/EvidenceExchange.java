package org.baobabcart.router.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.version.ServiceEvidence;
import org.baobabcart.policy.version.VersionOutcomeRecorder;
import org.baobabcart.router.platform.FollowerSettings;
import org.baobabcart.router.platform.ObjectFollower;

/**
 * Pools what routers have seen of the targets of orders, by way of the platform's store. Confined to the control thread.
 *
 * <p>Each router keeps one object for each service and writes it now and then while a target is tried. Only the router that reviews a move
 * reads them, so that the calls grow with the number of routers and not with its square. A report counts requests, so
 * that those that have arrived tell enough where others are late.
 */
final class EvidenceExchange {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Often enough for two reports in the shortest trial; each one is a call that is priced. */
    private static final Duration REPORT_PERIOD = Duration.ofMillis(1_200);

    private final String router;
    private final ObjectFollower.Parts parts;
    private final VersionOutcomeRecorder own;
    private final Map<String, StoredObject> written = new HashMap<>();
    private final Map<String, Long> dueNanos = new HashMap<>();
    private final Set<String> writing = new HashSet<>();
    private Map<String, StoredObject> reports = Map.of();
    private Optional<ObjectFollower> follower = Optional.empty();

    private EvidenceExchange(String router, ObjectFollower.Parts parts, VersionOutcomeRecorder own) {
        this.router = router;
        this.parts = parts;
        this.own = own;
    }

    /**
     * An exchange that neither writes nor reads yet.
     *
     * @param router the name of this router
     * @param own what this router sees
     */
    static EvidenceExchange create(String router, ObjectFollower.Parts parts, VersionOutcomeRecorder own) {
        return new EvidenceExchange(router, parts, own);
    }

    /** Writes this router's report on an order whose target is tried, if it is time to. */
    void report(VersionOrder order) {
        String service = order.service();
        long now = parts.timers().nanoTime();
        Long due = dueNanos.computeIfAbsent(
                service, ignored -> now + parts.random().nextLong(REPORT_PERIOD.toNanos()));
        if (now - due < 0 || !writing.add(service)) {
            return;
        }
        dueNanos.put(service, now + REPORT_PERIOD.toNanos());
        EvidenceReport report = EvidenceReport.of(order, own.evidence(service, now));
        write(service, report);
    }

    private void write(String service, EvidenceReport report) {
        StoredObject before = written.get(service);
        (before == null
                        ? parts.store()
                                .create(StoredObject.fresh(
                                        EvidenceReport.KIND, EvidenceReport.name(service, router), report.toJson()))
                        : parts.store().update(before.withSpec(report.toJson())))
                .emitOn(parts.loop())
                .subscribe()
                .with(object -> written(service, object), failure -> notWritten(service, failure));
    }

    private void written(String service, StoredObject object) {
        writing.remove(service);
        written.put(service, object);
    }

    /** The object was there already, or was changed or removed by another writer: it is read, and written at the next turn. */
    private void notWritten(String service, Throwable failure) {
        ResultCode code = failure instanceof BaobabcartException exception ? exception.code() : ResultCode.INTERNAL;
        LOGGER.atInfo().log(
                "event=evidence_not_written service=%s code=%s cause=%s", service, code, failure.getMessage());
        written.remove(service);
        if (code != ResultCode.CONFLICT && code != ResultCode.WRITE_OUTCOME_UNKNOWN) {
            writing.remove(service);
            return;
        }
        parts.store()
                .read(EvidenceReport.KIND, EvidenceReport.name(service, router))
                .emitOn(parts.loop())
                .subscribe()
                .with(object -> found(service, object), absent -> writing.remove(service));
    }

    private void found(String service, StoredObject object) {
        written(service, object);
        dueNanos.put(service, parts.timers().nanoTime());
    }

    /** Begins to read the reports of all routers, if it does not yet. */
    void startReading() {
        if (follower.isPresent()) {
            return;
        }
        ObjectFollower reading = ObjectFollower.create(
                EvidenceReport.KIND, parts, FollowerSettings.defaults(), objects -> reports = objects);
        follower = Optional.of(reading);
        reading.start();
    }

    /** Stops reading, if it does. */
    void stopReading() {
        follower.ifPresent(ObjectFollower::stop);
        follower = Optional.empty();
        reports = Map.of();
    }

    /** Whether the reports that there are have been read. */
    boolean isKnown() {
        return follower.filter(ObjectFollower::isKnown).isPresent();
    }

    /** What all routers have seen since the trial of this order began, as far as it is known here. */
    ServiceEvidence pooled(VersionOrder order) {
        String ownName = EvidenceReport.name(order.service(), router);
        return reportsOn(order.service())
                .filter(object -> !object.name().equals(ownName))
                .map(object -> EvidenceReport.fromJson(object.spec()))
                .filter(report -> report.isOn(order))
                .map(EvidenceReport::evidence)
                .reduce(own.evidence(order.service(), parts.timers().nanoTime()), ServiceEvidence::plus);
    }

    private Stream<StoredObject> reportsOn(String service) {
        String prefix = EvidenceReport.name(service, "");
        return reports.values().stream().filter(object -> object.name().startsWith(prefix));
    }

    /** Removes reports on earlier orders of a service, whose routers are gone. */
    void removeOutdated(VersionOrder order) {
        reportsOn(order.service())
                .filter(object -> !EvidenceReport.fromJson(object.spec()).isOn(order))
                .forEach(object -> parts.store()
                        .delete(object)
                        .subscribe()
                        .with(
                                ignored -> {},
                                failure -> LOGGER.atInfo().log(
                                        "event=evidence_not_removed name=%s cause=%s",
                                        object.name(), failure.getMessage())));
    }
}
