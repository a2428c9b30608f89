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
 * Queue of one rank that shares dispatches among workspaces by weight.
 *
 * <p>Implements start-time fair queueing (Goyal, Vin and Cheng, 1996): each entry gets a start tag, the later of the
 * virtual time and the last finish tag of its workspace, and the entry with the smallest start tag is dispatched first.
 * Not thread-safe.
 */
final class FairQueue<T> {
    private final Map<String, Flow<T>> flows = new LinkedHashMap<>();
    private double virtualTime;
    private int size;

    /** Queued entries of one workspace. */
    private static final class Flow<T> {
        private final Deque<TaggedEntry<T>> entries = new ArrayDeque<>();
        private double lastFinishTag;

        private double headStartTag() {
            return entries.peekFirst().startTag;
        }
    }

    private record TaggedEntry<T>(QueueEntry<T> entry, double startTag) {}

    void add(QueueEntry<T> entry) {
        Flow<T> flow = flows.computeIfAbsent(entry.workspace(), ignored -> new Flow<>());
        double startTag = Math.max(virtualTime, flow.lastFinishTag);
        flow.lastFinishTag = startTag + 1 / entry.weight();
        flow.entries.addLast(new TaggedEntry<>(entry, startTag));
        size++;
    }

    /** Returns the entry that is dispatched next. */
    Optional<QueueEntry<T>> peek() {
        return nextFlow().map(flow -> flow.entries.peekFirst().entry);
    }

    Optional<QueueEntry<T>> poll() {
        return nextFlow().map(flow -> {
            TaggedEntry<T> tagged = flow.entries.removeFirst();
            virtualTime = tagged.startTag;
            size--;
            removeIdleFlows();
            return tagged.entry;
        });
    }

    /** Removes the newest entry of the workspace with the largest backlog relative to its weight. */
    Optional<QueueEntry<T>> dropFromLargestBacklog() {
        Optional<Flow<T>> largest = flows.values().stream()
                .filter(flow -> !flow.entries.isEmpty())
                .max(Comparator.comparingDouble(FairQueue::backlog));
        return largest.map(flow -> {
            TaggedEntry<T> tagged = flow.entries.removeLast();
            flow.lastFinishTag = tagged.startTag;
            size--;
            return tagged.entry;
        });
    }

    List<QueueEntry<T>> removeIf(Predicate<QueueEntry<T>> condition) {
        List<QueueEntry<T>> removed = new ArrayList<>();
        for (Flow<T> flow : flows.values()) {
            removeIf(flow, condition, removed);
        }
        size -= removed.size();
        return removed;
    }

    /**
     * Retags the remaining entries from the first start tag on, so that removed work is not charged to the workspace.
     */
    private static <T> void removeIf(Flow<T> flow, Predicate<QueueEntry<T>> condition, List<QueueEntry<T>> removed) {
        if (flow.entries.stream().noneMatch(tagged -> condition.test(tagged.entry))) {
            return;
        }
        double startTag = flow.headStartTag();
        List<TaggedEntry<T>> before = List.copyOf(flow.entries);
        flow.entries.clear();
        for (TaggedEntry<T> tagged : before) {
            if (condition.test(tagged.entry)) {
                removed.add(tagged.entry);
            } else {
                flow.entries.addLast(new TaggedEntry<>(tagged.entry, startTag));
                startTag += 1 / tagged.entry.weight();
            }
        }
        flow.lastFinishTag = startTag;
    }

    /** Returns the number of entries that would be dispatched before a new entry of a workspace. */
    int countAhead(String workspace) {
        Flow<T> own = flows.get(workspace);
        double startTag = own == null ? virtualTime : Math.max(virtualTime, own.lastFinishTag);
        int count = 0;
        for (Flow<T> flow : flows.values()) {
            for (TaggedEntry<T> tagged : flow.entries) {
                if (tagged.startTag <= startTag) {
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
        return flow == null ? 0 : flow.entries.size();
    }

    /** Returns the largest backlog of a workspace relative to its weight. */
    double largestBacklog() {
        return flows.values().stream()
                .filter(flow -> !flow.entries.isEmpty())
                .mapToDouble(FairQueue::backlog)
                .max()
                .orElse(0);
    }

    private Optional<Flow<T>> nextFlow() {
        return flows.values().stream()
                .filter(flow -> !flow.entries.isEmpty())
                .min(Comparator.comparingDouble(Flow::headStartTag));
    }

    private static <T> double backlog(Flow<T> flow) {
        return flow.entries.size() / flow.entries.peekFirst().entry.weight();
    }

    private void removeIdleFlows() {
        flows.values().removeIf(flow -> flow.entries.isEmpty() && flow.lastFinishTag <= virtualTime);
    }
}
