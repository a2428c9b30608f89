package org.baobabcart.load;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/**
 * Results of a load. Immutable.
 *
 * @param all all requests
 * @param ranks the requests of each rank
 * @param workspaces the requests of each workspace
 * @param targets the requests sent to each target
 * @param seconds time from the first planned moment to the last end, in seconds
 */
public record LoadReport(
        GroupReport all,
        Map<String, GroupReport> ranks,
        Map<String, GroupReport> workspaces,
        Map<String, GroupReport> targets,
        double seconds) {
    /** Copies the maps and keeps their order. */
    public LoadReport {
        ranks = Collections.unmodifiableMap(new TreeMap<>(ranks));
        targets = Collections.unmodifiableMap(new TreeMap<>(targets));
        workspaces = Collections.unmodifiableMap(new TreeMap<>(workspaces));
    }

    /** Whole answers a second. */
    public double goodput() {
        return seconds == 0 ? 0 : all.count(Outcome.COMPLETE) / seconds;
    }
}
