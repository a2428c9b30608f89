package org.baobabcart.policy.upstream;

import java.util.Optional;

/**
 * Load of an upstream, as reported by the upstream itself. Immutable.
 *
 * @param running the number of running requests
 * @param waiting the number of queued requests
 * @param slots the number of requests that can run at once
 */
public record LoadReport(int running, int waiting, int slots) {
    private static final int PARTS = 3;

    /**
     * Parses {@code running/waiting/slots}; returns empty if the text has another format or the numbers are invalid.
     */
    public static Optional<LoadReport> parse(String text) {
        String[] parts = text.trim().split("/", -1);
        if (parts.length != PARTS) {
            return Optional.empty();
        }
        try {
            LoadReport report =
                    new LoadReport(Integer.parseInt(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2]));
            return Optional.of(report).filter(LoadReport::isValid);
        } catch (NumberFormatException exception) {
            return Optional.empty();
        }
    }

    /** Returns the number of running and queued requests. */
    public int total() {
        return running + waiting;
    }

    /**
     * Returns whether the upstream has more requests than it can run at once. Requests that have just arrived are
     * reported as waiting until the engine's next step even if there are free slots, so the number of waiting requests
     * alone doesn't tell.
     */
    public boolean isCongested() {
        return total() > slots;
    }

    private boolean isValid() {
        return running >= 0 && waiting >= 0 && slots > 0;
    }
}
