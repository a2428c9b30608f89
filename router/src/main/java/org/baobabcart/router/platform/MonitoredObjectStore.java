package org.baobabcart.router.platform;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import java.util.List;
import java.util.concurrent.Executor;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ObjectSnapshot;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.metrics.LabelledMetrics;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * Passes calls on to the platform and keeps {@link Sections#PLATFORM_REACHABLE} by how they end, so that no call is made
 * just to find that out. Thread-safe.
 */
public final class MonitoredObjectStore implements ObjectStore {
    private final ObjectStore store;
    private final Blackboard blackboard;
    private final Executor loop;
    private final Timeline timeline;
    private final Meter answers;
    private final Meter failures;
    private volatile boolean reachable;

    private MonitoredObjectStore(
            ObjectStore store, Blackboard blackboard, Executor loop, Timeline timeline, MetricRegistry metrics) {
        this.store = store;
        this.blackboard = blackboard;
        this.loop = loop;
        this.timeline = timeline;
        LabelledMetrics labelled = LabelledMetrics.create(metrics);
        this.answers = labelled.meter("platform.calls", LabelledMetrics.labels("result", "answered"));
        this.failures = labelled.meter("platform.calls", LabelledMetrics.labels("result", "unanswered"));
    }

    /** Observes the calls to this store. */
    public static MonitoredObjectStore create(
            ObjectStore store, Blackboard blackboard, Executor loop, Timeline timeline, MetricRegistry metrics) {
        return new MonitoredObjectStore(store, blackboard, loop, timeline, metrics);
    }

    @Override
    public Uni<StoredObject> read(String kind, String name) {
        return observed(store.read(kind, name));
    }

    @Override
    public Uni<List<StoredObject>> list(String kind) {
        return observed(store.list(kind));
    }

    @Override
    public Uni<ObjectSnapshot> snapshot(String kind) {
        return observed(store.snapshot(kind));
    }

    @Override
    public Uni<StoredObject> updateStatus(StoredObject object) {
        return observed(store.updateStatus(object));
    }

    @Override
    public Uni<StoredObject> create(StoredObject object) {
        return observed(store.create(object));
    }

    @Override
    public Uni<StoredObject> update(StoredObject object) {
        return observed(store.update(object));
    }

    @Override
    public Uni<Void> delete(StoredObject object) {
        return observed(store.delete(object));
    }

    @Override
    public Multi<ObjectEvent> watch(String kind, String fromResourceVersion) {
        return store.watch(kind, fromResourceVersion)
                .onItem()
                .invoke(() -> answered(true))
                .onFailure()
                .invoke(failure -> answered(isAnswer(failure)));
    }

    private <T> Uni<T> observed(Uni<T> call) {
        return call.onItemOrFailure().invoke((item, failure) -> answered(failure == null || isAnswer(failure)));
    }

    private static boolean isAnswer(Throwable failure) {
        return failure instanceof BaobabcartException exception
                && exception.code() != ResultCode.PLATFORM_UNAVAILABLE
                && exception.code() != ResultCode.WRITE_OUTCOME_UNKNOWN;
    }

    private void answered(boolean answer) {
        (answer ? answers : failures).mark();
        if (reachable != answer) {
            loop.execute(() -> change(answer));
        }
    }

    private void change(boolean answer) {
        if (reachable == answer) {
            return;
        }
        reachable = answer;
        blackboard.write(Sections.PLATFORM_REACHABLE, answer);
        timeline.record(answer ? EventType.PLATFORM_FOUND : EventType.PLATFORM_LOST, EventFields.none());
    }
}
