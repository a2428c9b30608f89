package org.baobabcart.router.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ObjectSnapshot;
import org.baobabcart.model.platform.ResourceVersion;
import org.baobabcart.model.platform.StoredObject;

/**
 * The changes of a kind of objects that have been taken, from the store itself or from several logs, in the order of the store. Never goes back to
 * an earlier state of an object. Confined to the control thread.
 *
 * <p>Revisions are compared within one era of the store, to which all of them belong.
 */
final class FollowedChanges {
    private final Map<String, Long> revisions = new HashMap<>();
    private ResourceVersion position = ResourceVersion.of(ResourceVersion.UNKNOWN_REVISION);

    /** Returns the version up to which all changes have been taken; unknown before the first list. */
    ResourceVersion position() {
        return position;
    }

    /** Starts from a list of all objects. */
    void start(ObjectSnapshot snapshot) {
        revisions.clear();
        snapshot.objects().forEach(object -> revisions.put(object.name(), revision(object)));
    }

    /** Returns the changes that lead from what is known to a list; a deletion bears the revision of the last known state. */
    List<ObjectEvent> changesTo(String kind, ObjectSnapshot snapshot) {
        List<ObjectEvent> events = new ArrayList<>();
        Map<String, Long> missing = new HashMap<>(revisions);
        for (StoredObject object : snapshot.objects()) {
            Long known = missing.remove(object.name());
            if (known == null || revision(object) != known) {
                events.add(new ObjectEvent(ObjectEvent.Type.MODIFIED, object));
            }
        }
        missing.forEach((name, revision) -> events.add(new ObjectEvent(
                ObjectEvent.Type.DELETED,
                StoredObject.unreadable(
                        kind, name, position.withRevision(revision).text(), "gone"))));
        return events;
    }

    /** Returns the number of objects that exist as far as known. */
    int objects() {
        return revisions.size();
    }

    /** Continues at the version from which a reader wants the changes. */
    void continueAt(ResourceVersion version) {
        position = version;
    }

    private void advanceTo(long revision) {
        position = position.withRevision(Math.max(position.revision(), revision));
    }

    /** Notes a change that the store itself has sent. */
    void observe(ObjectEvent event) {
        StoredObject object = event.object();
        switch (event.type()) {
            case BOOKMARK -> advanceTo(revision(object));
            case DELETED -> revisions.remove(object.name());
            default -> revisions.merge(object.name(), revision(object), Math::max);
        }
    }

    /** Takes the changes in a log beyond the position, which the log must cover, of the same era; moves the position to the log's end. */
    List<ObjectEvent> take(ChangeLog log) {
        List<ObjectEvent> taken = new ArrayList<>();
        for (ChangeBatch batch : log.after(position.revision())) {
            for (ObjectEvent event : batch.events()) {
                if (isNew(event)) {
                    observe(event);
                    taken.add(event);
                }
            }
            advanceTo(batch.to());
        }
        advanceTo(log.end());
        return taken;
    }

    /**
     * A batch may begin before the position. A deletion bears the revision of the last state of its object, so it precedes every later state
     * that is known; repeating one has no effect.
     */
    private boolean isNew(ObjectEvent event) {
        StoredObject object = event.object();
        long revision = revision(object);
        if (revision < 0) {
            return true;
        }
        long known = revisions.getOrDefault(object.name(), -1L);
        return event.type() == ObjectEvent.Type.DELETED
                ? known <= revision
                : revision > position.revision() && revision > known;
    }

    private static long revision(StoredObject object) {
        return ResourceVersion.of(object).revision();
    }
}
