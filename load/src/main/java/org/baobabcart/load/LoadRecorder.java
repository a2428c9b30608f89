package org.baobabcart.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** Records each request in the total and in the groups of its rank, workspace and target. Thread-safe. */
final class LoadRecorder {
    private static final double NANOS_PER_SECOND = 1e9;

    private final GroupRecorder all = new GroupRecorder();
    private final Map<String, GroupRecorder> ranks = new ConcurrentHashMap<>();
    private final Map<String, GroupRecorder> workspaces = new ConcurrentHashMap<>();
    private final Map<String, GroupRecorder> targets = new ConcurrentHashMap<>();
    private volatile long lastEndNanos;

    void record(PlannedRequest request, Consumer<GroupRecorder> change) {
        List.of(
                        all,
                        ranks.computeIfAbsent(request.rank(), ignored -> new GroupRecorder()),
                        workspaces.computeIfAbsent(request.workspace().name(), ignored -> new GroupRecorder()),
                        targets.computeIfAbsent(request.target(), ignored -> new GroupRecorder()))
                .forEach(change);
    }

    /** Records the end of a request, in nanoseconds since the start of the load. */
    void recordEnd(long nanos) {
        lastEndNanos = Math.max(lastEndNanos, nanos);
    }

    LoadReport report() {
        return new LoadReport(
                all.report(), reports(ranks), reports(workspaces), reports(targets), lastEndNanos / NANOS_PER_SECOND);
    }

    private static Map<String, GroupReport> reports(Map<String, GroupRecorder> recorders) {
        Map<String, GroupReport> reports = new TreeMap<>();
        recorders.forEach((name, recorder) -> reports.put(name, recorder.report()));
        return reports;
    }
}
