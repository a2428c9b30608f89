package org.baobabcart.policy.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Waiting work of one rank, fair among workspaces by weight.
 *
 * <p>Start-time fair queueing (Goyal, Vin and Cheng, 1996): each entry gets a start tag, the later of the virtual time
 * and its workspace's last finish tag; the smallest start tag goes first. Not thread-safe.
 */
final class FairQueue<T> {
    private final Map<String, Flow<T>> flows = new LinkedHashMap<>();
    private double virtualTime;
    private int size;

    /** Work of one workspace. */
    private static final class Flow<T> {
        private final Deque<Tagged<T>> waiting = new ArrayDeque<>();
        private double lastFinish;

        private double head() {
            return waiting.peekFirst().start;
        }
    }

    private record Tagged<T>(Entry<T> entry, double start) {}

    void add(Entry<T> entry) {
        Flow<T> flow = flows.computeIfAbsent(entry.workspace(), ignored -> new Flow<>());
        double start = Math.max(virtualTime, flow.lastFinish);
        flow.lastFinish = start + 1 / entry.weight();
        flow.waiting.addLast(new Tagged<>(entry, start));
        size++;
    }

    /** The entry that goes next. */
    Optional<Entry<T>> peek() {
        return next().map(flow -> flow.waiting.peekFirst().entry);
    }

    Optional<Entry<T>> poll() {
        return next().map(flow -> {
            Tagged<T> tagged = flow.waiting.removeFirst();
            virtualTime = tagged.start;
            size--;
            forgetIdle();
            return tagged.entry;
        });
    }

    /** Takes out the newest entry of the workspace that has most waiting for its weight. */
    Optional<Entry<T>> dropFromLongest() {
        Optional<Flow<T>> longest = flows.values().stream()
                .filter(flow -> !flow.waiting.isEmpty())
                .max(Comparator.comparingDouble(FairQueue::backlog));
        return longest.map(flow -> {
            Tagged<T> tagged = flow.waiting.removeLast();
            flow.lastFinish = tagged.start;
            size--;
            return tagged.entry;
        });
    }

    List<Entry<T>> removeIf(Predicate<Entry<T>> condition) {
        List<Entry<T>> removed = new ArrayList<>();
        for (Flow<T> flow : flows.values()) {
            removeIf(flow, condition, removed);
        }
        size -= removed.size();
        return removed;
    }

    /** What stays moves up to the places of what leaves: nobody pays for work that was not started. */
    private static <T> void removeIf(Flow<T> flow, Predicate<Entry<T>> condition, List<Entry<T>> removed) {
        if (flow.waiting.stream().noneMatch(tagged -> condition.test(tagged.entry))) {
            return;
        }
        double start = flow.head();
        List<Tagged<T>> before = List.copyOf(flow.waiting);
        flow.waiting.clear();
        for (Tagged<T> tagged : before) {
            if (condition.test(tagged.entry)) {
                removed.add(tagged.entry);
            } else {
                flow.waiting.addLast(new Tagged<>(tagged.entry, start));
                start += 1 / tagged.entry.weight();
            }
        }
        flow.lastFinish = start;
    }

    /** The number of entries that go before a new one of a workspace. */
    int ahead(String workspace) {
        Flow<T> own = flows.get(workspace);
        double start = own == null ? virtualTime : Math.max(virtualTime, own.lastFinish);
        int count = 0;
        for (Flow<T> flow : flows.values()) {
            for (Tagged<T> tagged : flow.waiting) {
                if (tagged.start <= start) {
                    count++;
                }
            }
        }
        return count;
    }

    int size() {
        return size;
    }

    int size(String workspace) {
        Flow<T> flow = flows.get(workspace);
        return flow == null ? 0 : flow.waiting.size();
    }

    /** The backlog by weight of the workspace that has most waiting. */
    double longestBacklog() {
        return flows.values().stream()
                .filter(flow -> !flow.waiting.isEmpty())
                .mapToDouble(FairQueue::backlog)
                .max()
                .orElse(0);
    }

    private Optional<Flow<T>> next() {
        return flows.values().stream()
                .filter(flow -> !flow.waiting.isEmpty())
                .min(Comparator.comparingDouble(Flow::head));
    }

    private static <T> double backlog(Flow<T> flow) {
        return flow.waiting.size() / flow.waiting.peekFirst().entry.weight();
    }

    private void forgetIdle() {
        flows.values().removeIf(flow -> flow.waiting.isEmpty() && flow.lastFinish <= virtualTime);
    }
}
