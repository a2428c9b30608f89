package org.baobabcart.router.relay;

import org.baobabcart.model.platform.StoredObject;

/** Reads revisions of the store, which are whole numbers that increase with each change. */
final class Revisions {
    /** Stands for a revision that is no number. */
    static final long UNKNOWN = -1;

    private Revisions() {}

    static long number(StoredObject object) {
        return number(object.resourceVersion());
    }

    static long number(String revision) {
        try {
            return Math.max(UNKNOWN, Long.parseLong(revision));
        } catch (NumberFormatException notANumber) {
            return UNKNOWN;
        }
    }
}
