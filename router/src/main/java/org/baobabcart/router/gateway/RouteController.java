package org.baobabcart.router.gateway;

import java.util.Map;
import java.util.Optional;
import org.baobabcart.model.gateway.RouteTable;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.platform.FollowerSettings;
import org.baobabcart.router.platform.ObjectFollower;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.Timeline;

/**
 * Puts the operator's newest table of routes in force. Confined to the control thread.
 *
 * <p>A table of a lower version, or one that cannot be read, is put aside: the last good one stays in force.
 */
final class RouteController extends FollowingController {
    private final GatewayObjectCodec meaning;
    private final Blackboard blackboard;
    private final Timeline timeline;
    private final ObjectFollower follower;

    private RouteController(
            GatewayObjectCodec meaning, ObjectFollower.Parts parts, Blackboard blackboard, Timeline timeline) {
        this.meaning = meaning;
        this.blackboard = blackboard;
        this.timeline = timeline;
        this.follower =
                ObjectFollower.create(meaning.configurationKind(), parts, FollowerSettings.defaults(), this::changed);
    }

    static RouteController create(
            GatewayObjectCodec meaning, ObjectFollower.Parts parts, Blackboard blackboard, Timeline timeline) {
        return new RouteController(meaning, parts, blackboard, timeline);
    }

    @Override
    ObjectFollower follower() {
        return follower;
    }

    private void changed(Map<String, StoredObject> objects) {
        objects.values().forEach(this::consider);
    }

    private void consider(StoredObject object) {
        try {
            meaning.routeTable(object).ifPresent(this::apply);
        } catch (BaobabcartException fault) {
            putAside(EventFields.of(EventField.NAME, object.name()).with(EventField.CAUSE, fault.getMessage()));
        }
    }

    private void putAside(EventFields fields) {
        timeline.record(EventType.SHEET_PUT_ASIDE, fields);
    }

    private void apply(RouteTable table) {
        long inForce = blackboard.read(Sections.ROUTES).map(RouteTable::version).orElse(Long.MIN_VALUE);
        if (table.version() < inForce) {
            putAside(EventFields.of(EventField.GENERATION, table.version())
                    .with(EventField.CAUSE, "generation " + inForce + " is in force"));
        }
        if (table.version() <= inForce) {
            return;
        }
        blackboard.write(Sections.ROUTES, Optional.of(table));
        timeline.record(
                EventType.SHEET_APPLIED,
                EventFields.of(EventField.GENERATION, table.version())
                        .with(EventField.ROUTES, table.routes().size()));
    }
}
