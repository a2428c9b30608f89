package org.baobabcart.router.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ObjectSnapshot;
import org.baobabcart.model.platform.StoredObject;

/**
 * The changes of a kind of objects that have been taken, from the store itself or from several logs, in the order of the store. Never goes back to
 * an earlier state of an object. Confined to the control thread.
 */
final class FollowedChanges {
    private final Map<String, Long> revisions = new HashMap<>();
    private long position = -1;

    /** Returns the revision up to which all changes have been taken; negative before the first list. */
    long position() {
        return position;
    }

    /** Starts from a list of all objects. */
    void start(ObjectSnapshot snapshot) {
        revisions.clear();
        snapshot.objects().forEach(object -> revisions.put(object.name(), Revisions.number(object)));
    }

    /** Returns the changes that lead from what is known to a list; a deletion bears the revision of the last known state. */
    List<ObjectEvent> changesTo(String kind, ObjectSnapshot snapshot) {
        List<ObjectEvent> events = new ArrayList<>();
        Map<String, Long> missing = new HashMap<>(revisions);
        for (StoredObject object : snapshot.objects()) {
            Long known = missing.remove(object.name());
            if (known == null || Revisions.number(object) != known) {
                events.add(new ObjectEvent(ObjectEvent.Type.MODIFIED, object));
            }
        }
        missing.forEach((name, revision) -> events.add(new ObjectEvent(
                ObjectEvent.Type.DELETED, StoredObject.unreadable(kind, name, Long.toString(revision), "gone"))));
        return events;
    }

    /** Returns the number of objects that exist as far as known. */
    int objects() {
        return revisions.size();
    }

    /** Continues at the revision from which a reader wants the changes. */
    void continueAt(long revision) {
        position = revision;
    }

    /** Notes a change that the store itself has sent. */
    void observe(ObjectEvent event) {
        StoredObject object = event.object();
        switch (event.type()) {
            case BOOKMARK -> position = Math.max(position, Revisions.number(object));
            case DELETED -> revisions.remove(object.name());
            default -> revisions.merge(object.name(), Revisions.number(object), Math::max);
        }
    }

    /** Takes the changes in a log beyond the position, which the log must cover; moves the position to the log's end. */
    List<ObjectEvent> take(ChangeLog log) {
        List<ObjectEvent> taken = new ArrayList<>();
        for (ChangeBatch batch : log.after(position)) {
            for (ObjectEvent event : batch.events()) {
                if (isNew(event)) {
                    observe(event);
                    taken.add(event);
                }
            }
            position = batch.to();
        }
        position = Math.max(position, log.end());
        return taken;
    }

    /**
     * A batch may begin before the position. A deletion bears the revision of the last state of its object, so it precedes every later state
     * that is known; repeating one has no effect.
     */
    private boolean isNew(ObjectEvent event) {
        StoredObject object = event.object();
        long revision = Revisions.number(object);
        if (revision < 0) {
            return true;
        }
        long known = revisions.getOrDefault(object.name(), -1L);
        return event.type() == ObjectEvent.Type.DELETED ? known <= revision : revision > position && revision > known;
    }
}
