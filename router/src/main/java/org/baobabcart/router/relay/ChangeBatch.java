package org.baobabcart.router.relay;

import java.util.List;
import org.baobabcart.model.platform.ObjectEvent;

/**
 * All changes of a kind of objects between two revisions of the store, in order. Immutable.
 *
 * @param from the revision after which the changes were made
 * @param to the revision up to which they were made
 * @param events the changes
 * @param bytes the size of the changes as they are sent
 */
record ChangeBatch(long from, long to, List<ObjectEvent> events, int bytes) {
    ChangeBatch {
        events = List.copyOf(events);
    }
}
