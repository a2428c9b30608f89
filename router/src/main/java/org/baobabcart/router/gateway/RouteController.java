package org.baobabcart.router.gateway;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.platform.ResourceVersion;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.platform.InformerSettings;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * Applies the operator's newest route table. Confined to the control thread.
 *
 * <p>A table with a lower version or one that cannot be decoded is rejected, and the last valid table remains in force. A store that has come back from an
 * older copy may hold an older table until the operator writes the newest one again; it comes into force if the operator does not.
 */
final class RouteController extends FollowingController {
    /** How long the operator has to write again what the store has lost, also by hand. */
    private static final Duration REWRITE_TIME = Duration.ofSeconds(60);

    private final GatewayObjectCodec objectCodec;
    private final Blackboard blackboard;
    private final Timeline timeline;
    private final TimerService timers;
    private final ObjectInformer<StoredTable> informer;
    private Optional<StoredTable> inForce = Optional.empty();
    private Optional<StoredTable> older = Optional.empty();

    private RouteController(
            GatewayObjectCodec objectCodec,
            ObjectInformer.Dependencies dependencies,
            Blackboard blackboard,
            Timeline timeline) {
        this.objectCodec = objectCodec;
        this.blackboard = blackboard;
        this.timeline = timeline;
        this.timers = dependencies.timers();
        this.informer = ObjectInformer.create(
                objectCodec.configurationKind(),
                dependencies,
                InformerSettings.defaults(),
                this::decode,
                this::onChanged);
    }

    static RouteController create(
            GatewayObjectCodec objectCodec,
            ObjectInformer.Dependencies dependencies,
            Blackboard blackboard,
            Timeline timeline) {
        return new RouteController(objectCodec, dependencies, blackboard, timeline);
    }

    /** A route table and the version of the object that holds it. */
    private record StoredTable(RouteTable table, String resourceVersion) {
        long version() {
            return table.version();
        }

        boolean isSameEra(StoredTable other) {
            return ResourceVersion.parse(resourceVersion).isSameEra(ResourceVersion.parse(other.resourceVersion));
        }
    }

    @Override
    ObjectInformer<StoredTable> informer() {
        return informer;
    }

    private Optional<StoredTable> decode(StoredObject object) {
        try {
            return objectCodec.routeTable(object).map(table -> new StoredTable(table, object.resourceVersion()));
        } catch (BaobabcartException fault) {
            recordRejected(EventFields.of(EventField.NAME, object.name()).with(EventField.CAUSE, fault.getMessage()));
            throw fault;
        }
    }

    private void onChanged(Map<String, StoredTable> tables) {
        tables.values().forEach(this::apply);
    }

    private void recordRejected(EventFields fields) {
        timeline.record(EventType.SHEET_PUT_ASIDE, fields);
    }

    private void apply(StoredTable stored) {
        if (inForce.filter(known -> known.table().equals(stored.table())).isPresent()) {
            older = Optional.empty();
            inForce = Optional.of(stored);
        } else if (inForce.filter(known -> stored.version() < known.version()).isPresent()) {
            putAside(stored, inForce.get());
        } else {
            bringIntoForce(stored);
        }
    }

    private void putAside(StoredTable stored, StoredTable known) {
        if (older.equals(Optional.of(stored))) {
            return;
        }
        older = Optional.of(stored);
        recordRejected(EventFields.of(EventField.GENERATION, stored.version())
                .with(EventField.CAUSE, "generation " + known.version() + " is in force"));
        if (!stored.isSameEra(known)) {
            timers.after("rewrite-configuration", REWRITE_TIME, () -> bringOlderIntoForce(stored));
        }
    }

    private void bringOlderIntoForce(StoredTable stored) {
        if (older.equals(Optional.of(stored))) {
            bringIntoForce(stored);
        }
    }

    private void bringIntoForce(StoredTable stored) {
        RouteTable table = stored.table();
        inForce = Optional.of(stored);
        older = Optional.empty();
        blackboard.write(Sections.ROUTES, Optional.of(table));
        timeline.record(
                EventType.SHEET_APPLIED,
                EventFields.of(EventField.GENERATION, table.version())
                        .with(EventField.ROUTES, table.routes().size())
                        .with(EventField.RESOURCE_VERSION, stored.resourceVersion()));
    }
}
