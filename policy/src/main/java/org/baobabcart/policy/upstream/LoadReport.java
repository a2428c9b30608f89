package org.baobabcart.policy.upstream;

import java.util.Optional;

/**
 * What an upstream said of its load. Immutable.
 *
 * @param running requests that run there
 * @param waiting requests that wait there
 * @param slots requests that can run there at once
 */
public record LoadReport(int running, int waiting, int slots) {
    private static final int PARTS = 3;

    /** Reads {@code running/waiting/slots}; empty if the text has another form. */
    public static Optional<LoadReport> parse(String text) {
        String[] parts = text.trim().split("/", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            LoadReport report =
                    new LoadReport(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
            return Optional.of(report).filter(LoadReport::isSound);
        } catch (NumberFormatException exception) {
            return Optional.empty();
        }
    }

    /** Requests that are there, whether they run or wait. */
    public int present() {
        return running + waiting;
    }

    /**
     * Whether more requests are there than can run at once. Requests that have just arrived are reported as waiting
     * until the engine's next step, though it has room for them.
     */
    public boolean isCongested() {
        return present() > slots;
    }

    private boolean isSound() {
        return running >= 0 && waiting >= 0 && slots > 0;
    }
}
