package org.baobabcart.load;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Results of a load. Immutable.
 *
 * @param all the results of all requests
 * @param ranks the results by rank
 * @param workspaces the results by workspace
 * @param targets the results by target
 * @param seconds the time from the start of the load to the end of the last request, in seconds
 */
public record LoadReport(
        GroupReport all,
        Map<String, GroupReport> ranks,
        Map<String, GroupReport> workspaces,
        Map<String, GroupReport> targets,
        double seconds) {
    /** Copies the maps and sorts them by key. */
    public LoadReport {
        ranks = Collections.unmodifiableMap(new TreeMap<>(ranks));
        targets = Collections.unmodifiableMap(new TreeMap<>(targets));
        workspaces = Collections.unmodifiableMap(new TreeMap<>(workspaces));
    }

    /** Returns the number of complete responses per second. */
    public double goodput() {
        return seconds == 0 ? 0 : all.count(Outcome.COMPLETE) / seconds;
    }
}
