package org.baobabcart.router.gateway;

import java.util.Map;
import java.util.Optional;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.platform.InformerSettings;
import org.baobabcart.router.platform.ObjectInformer;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * Applies the operator's newest route table. Confined to the control thread.
 *
 * <p>A table with a lower version or one that cannot be decoded is rejected, and the last valid table remains in force.
 */
final class RouteController extends FollowingController {
    private final GatewayObjectCodec objectCodec;
    private final Blackboard blackboard;
    private final Timeline timeline;
    private final ObjectInformer<StoredTable> informer;

    private RouteController(
            GatewayObjectCodec objectCodec,
            ObjectInformer.Dependencies dependencies,
            Blackboard blackboard,
            Timeline timeline) {
        this.objectCodec = objectCodec;
        this.blackboard = blackboard;
        this.timeline = timeline;
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
    private record StoredTable(RouteTable table, String resourceVersion) {}

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
        RouteTable table = stored.table();
        long activeVersion =
                blackboard.read(Sections.ROUTES).map(RouteTable::version).orElse(Long.MIN_VALUE);
        if (table.version() < activeVersion) {
            recordRejected(EventFields.of(EventField.GENERATION, table.version())
                    .with(EventField.CAUSE, "generation " + activeVersion + " is in force"));
        }
        if (table.version() <= activeVersion) {
            return;
        }
        blackboard.write(Sections.ROUTES, Optional.of(table));
        timeline.record(
                EventType.SHEET_APPLIED,
                EventFields.of(EventField.GENERATION, table.version())
                        .with(EventField.ROUTES, table.routes().size())
                        .with(EventField.RESOURCE_VERSION, stored.resourceVersion()));
    }
}
