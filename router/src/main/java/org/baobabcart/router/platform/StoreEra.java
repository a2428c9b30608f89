package org.baobabcart.router.platform;

import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * The era of the platform's store, which changes when the store comes back from an older copy and what it has acknowledged since is lost. Thread-safe.
 *
 * <p>Eras increase, so an answer of an earlier era is late. An earlier era in the answer to a call that began after the present one was learned
 * cannot be late, and the store is then in that era.
 */
public final class StoreEra {
    private final CopyOnWriteArrayList<Runnable> listeners = new CopyOnWriteArrayList<>();
    private volatile Mark current = new Mark(OptionalLong.empty(), 0);

    private StoreEra() {}

    /** Creates an era that no answer has told yet. */
    public static StoreEra unknown() {
        return new StoreEra();
    }

    /**
     * The era at one time. Immutable.
     *
     * @param era the era; empty if no answer has told one
     * @param changes how often the era has changed before
     */
    public record Mark(OptionalLong era, long changes) {}

    /** Returns the present era, to be remembered when a call begins. */
    public Mark mark() {
        return current;
    }

    /** Returns the present era; empty if no answer has told one. */
    public OptionalLong era() {
        return current.era();
    }

    /** Calls an action after each change, on the thread that learns of it. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /**
     * Takes the era that an answer tells; an answer that tells none is taken for one of the present era.
     *
     * @param begun the era when the call began
     * @return whether the answer is of the present era; false if it is a late one of an earlier era
     */
    public boolean observe(Mark begun, OptionalLong told) {
        if (told.isEmpty() || told.equals(current.era())) {
            return true;
        }
        boolean isChanged = change(begun, told);
        if (isChanged) {
            listeners.forEach(Runnable::run);
        }
        return isChanged || told.equals(current.era());
    }

    private synchronized boolean change(Mark begun, OptionalLong told) {
        Mark before = current;
        boolean isLate = before.era().isPresent()
                && told.getAsLong() < before.era().getAsLong()
                && begun.changes() < before.changes();
        if (isLate || told.equals(before.era())) {
            return false;
        }
        current = new Mark(told, before.changes() + 1);
        return true;
    }
}
