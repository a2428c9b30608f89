package org.baobabcart.router.platform;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ObjectSnapshot;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.metrics.LabelledMetrics;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * Object store that delegates to another one and updates {@link Sections#PLATFORM_REACHABLE} from the results of its
 * calls, so that no extra calls are needed to detect outages. Thread-safe.
 */
public final class MonitoredObjectStore implements ObjectStore {
    private final ObjectStore store;
    private final Blackboard blackboard;
    private final Executor loop;
    private final Timeline timeline;
    private final LabelledMetrics metrics;
    private final Meter respondedCalls;
    private final Meter unansweredCalls;
    private volatile boolean reachable;
    private volatile OptionalLong lastEra = OptionalLong.empty();

    private MonitoredObjectStore(
            ObjectStore store, Blackboard blackboard, Executor loop, Timeline timeline, MetricRegistry registry) {
        this.store = store;
        this.blackboard = blackboard;
        this.loop = loop;
        this.timeline = timeline;
        this.metrics = LabelledMetrics.create(registry);
        this.respondedCalls = metrics.meter("platform.calls", LabelledMetrics.labels("result", "answered"));
        registry.gauge("platform.store-era", () -> () -> store.era().orElse(0));
        this.unansweredCalls = metrics.meter("platform.calls", LabelledMetrics.labels("result", "unanswered"));
    }

    /** Creates a store that monitors the calls to the given one. */
    public static MonitoredObjectStore of(
            ObjectStore store, Blackboard blackboard, Executor loop, Timeline timeline, MetricRegistry metrics) {
        return new MonitoredObjectStore(store, blackboard, loop, timeline, metrics);
    }

    @Override
    public OptionalLong era() {
        return store.era();
    }

    @Override
    public Uni<StoredObject> read(String kind, String name) {
        return monitored(StoreVerb.READ, kind, store.read(kind, name));
    }

    @Override
    public Uni<List<StoredObject>> list(String kind) {
        return monitored(StoreVerb.LIST, kind, store.list(kind));
    }

    @Override
    public Uni<ObjectSnapshot> snapshot(String kind) {
        return monitored(StoreVerb.LIST, kind, store.snapshot(kind));
    }

    @Override
    public Uni<StoredObject> updateStatus(StoredObject object) {
        return monitored(StoreVerb.UPDATE_STATUS, object.kind(), store.updateStatus(object));
    }

    @Override
    public Uni<StoredObject> create(StoredObject object) {
        return monitored(StoreVerb.CREATE, object.kind(), store.create(object));
    }

    @Override
    public Uni<StoredObject> update(StoredObject object) {
        return monitored(StoreVerb.UPDATE, object.kind(), store.update(object));
    }

    @Override
    public Uni<Void> delete(StoredObject object) {
        return monitored(StoreVerb.DELETE, object.kind(), store.delete(object));
    }

    @Override
    public Multi<ObjectEvent> watch(String kind, String fromResourceVersion) {
        return monitored(kind, store.watch(kind, fromResourceVersion));
    }

    @Override
    public Multi<ObjectEvent> watch(String kind, String fromResourceVersion, Duration longestSilence) {
        return monitored(kind, store.watch(kind, fromResourceVersion, longestSilence));
    }

    private Multi<ObjectEvent> monitored(String kind, Multi<ObjectEvent> watch) {
        return watch.onItem()
                .invoke(event -> onWatchEvent(kind, event))
                .onFailure()
                .invoke(failure -> {
                    count(StoreVerb.WATCH, kind);
                    onResult(isResponse(failure));
                });
    }

    /** A bookmark is the end of a poll's response. */
    private void onWatchEvent(String kind, ObjectEvent event) {
        if (event.type() == ObjectEvent.Type.BOOKMARK) {
            count(StoreVerb.WATCH, kind);
        }
        onResult(true);
    }

    private <T> Uni<T> monitored(StoreVerb verb, String kind, Uni<T> call) {
        return call.onItemOrFailure().invoke((item, failure) -> {
            count(verb, kind);
            onResult(failure == null || isResponse(failure));
        });
    }

    private void count(StoreVerb verb, String kind) {
        metrics.meter("platform.store-calls", LabelledMetrics.labels("kind", kind, "verb", verb.label()))
                .mark();
    }

    private static boolean isResponse(Throwable failure) {
        return failure instanceof BaobabcartException exception
                && exception.code() != ResultCode.PLATFORM_UNAVAILABLE
                && exception.code() != ResultCode.WRITE_OUTCOME_UNKNOWN;
    }

    private void onResult(boolean responded) {
        OptionalLong era = store.era();
        if (!era.equals(lastEra)) {
            loop.execute(() -> setEra(era));
        }
        (responded ? respondedCalls : unansweredCalls).mark();
        if (reachable != responded) {
            loop.execute(() -> setReachable(responded));
        }
    }

    private void setEra(OptionalLong era) {
        OptionalLong before = lastEra;
        if (era.equals(before)) {
            return;
        }
        lastEra = era;
        if (before.isPresent()) {
            timeline.record(
                    EventType.STORE_ERA_CHANGED,
                    EventFields.of(EventField.ERA, era.orElseThrow()).with(EventField.EARLIER_ERA, before.getAsLong()));
        }
    }

    private void setReachable(boolean responded) {
        if (reachable == responded) {
            return;
        }
        reachable = responded;
        blackboard.write(Sections.PLATFORM_REACHABLE, responded);
        timeline.record(responded ? EventType.PLATFORM_FOUND : EventType.PLATFORM_LOST, EventFields.none());
    }
}
