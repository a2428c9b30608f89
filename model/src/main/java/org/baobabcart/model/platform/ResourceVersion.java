package org.baobabcart.model.platform;

import java.util.OptionalLong;

/**
 * A version in the platform's store: a revision, which stands for one state only within one era of the store. A store that comes back from an older copy begins
 * another era and gives revisions out again. Immutable.
 *
 * @param era the era of the store; empty if the store does not tell one
 * @param revision a number that increases with each change within an era; {@link #UNKNOWN_REVISION} if the version is no such number
 */
public record ResourceVersion(OptionalLong era, long revision) {
    /** Stands for a revision that is no number. */
    public static final long UNKNOWN_REVISION = -1;

    private static final char SEPARATOR = '/';

    /** Returns a version of a store that tells no era. */
    public static ResourceVersion of(long revision) {
        return new ResourceVersion(OptionalLong.empty(), revision);
    }

    /** Returns the version in a text, which has an unknown revision if it is in another format. */
    public static ResourceVersion parse(String text) {
        int separator = text.indexOf(SEPARATOR);
        try {
            long revision = Math.max(UNKNOWN_REVISION, Long.parseLong(text, separator + 1, text.length(), 10));
            return separator < 0
                    ? of(revision)
                    : new ResourceVersion(OptionalLong.of(Long.parseLong(text, 0, separator, 10)), revision);
        } catch (NumberFormatException otherFormat) {
            return of(UNKNOWN_REVISION);
        }
    }

    /** Returns the version of an object. */
    public static ResourceVersion of(StoredObject object) {
        return parse(object.resourceVersion());
    }

    /** Returns whether the revision is a number, so that versions of one era have an order. */
    public boolean isKnown() {
        return revision != UNKNOWN_REVISION;
    }

    /** Returns whether both are of one era, so that their revisions can be compared. */
    public boolean isSameEra(ResourceVersion other) {
        return era.equals(other.era);
    }

    /** Returns another revision of the same era. */
    public ResourceVersion withRevision(long newRevision) {
        return new ResourceVersion(era, newRevision);
    }

    /** Returns the text from which {@link #parse} reads this version. */
    public String text() {
        return era.isPresent() ? era.getAsLong() + "" + SEPARATOR + revision : Long.toString(revision);
    }

    @Override
    public String toString() {
        return text();
    }
}
