package org.baobabcart.standins.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Continuous batching as in Orca (Yu et al., OSDI 2022): each step serves every running request, and requests join and
 * leave between steps. The duration of a step grows with the number of running requests. Not thread-safe.
 */
final class ContinuousBatch {
    private static final double STEP_GROWTH_PER_REQUEST = 0.25;

    private final int slots;
    private final double stepMillis;
    private final List<Generation> running = new ArrayList<>();
    private final PriorityQueue<QueuedGeneration> waiting = new PriorityQueue<>(
            Comparator.comparingInt(QueuedGeneration::priority).thenComparingLong(QueuedGeneration::arrivalNumber));
    private long arrivals;

    private ContinuousBatch(int slots, double stepMillis) {
        this.slots = slots;
        this.stepMillis = stepMillis;
    }

    /** Creates an empty batch. */
    static ContinuousBatch of(int slots, double stepMillis) {
        return new ContinuousBatch(slots, stepMillis);
    }

    private record QueuedGeneration(Generation generation, long arrivalNumber) {
        int priority() {
            return generation.priority();
        }
    }

    /** Adds a request to the queue. */
    void add(Generation generation) {
        waiting.add(new QueuedGeneration(generation, arrivals));
        arrivals++;
    }

    /** Returns the request that gets the next free slot. */
    Optional<Generation> nextWaiting() {
        return Optional.ofNullable(waiting.peek()).map(QueuedGeneration::generation);
    }

    /** Removes a cancelled request. */
    void remove(Generation generation) {
        running.remove(generation);
        waiting.removeIf(entry -> entry.generation() == generation);
    }

    /** Fills free slots, most urgent requests first, in order of arrival among those of equal priority. */
    void admit() {
        while (running.size() < slots && !waiting.isEmpty()) {
            running.add(waiting.remove().generation());
        }
    }

    /** Runs one step for all running requests. Removes and returns those that are complete. */
    List<Generation> step() {
        List<Generation> complete = new ArrayList<>();
        for (Generation generation : List.copyOf(running)) {
            if (generation.step()) {
                complete.add(generation);
            }
        }
        running.removeAll(complete);
        return complete;
    }

    /** Returns the duration of the next step in milliseconds. */
    double nextStepMillis() {
        return stepMillis * (1 + STEP_GROWTH_PER_REQUEST * Math.max(0, running.size() - 1));
    }

    boolean isEmpty() {
        return running.isEmpty() && waiting.isEmpty();
    }

    int running() {
        return running.size();
    }

    int waiting() {
        return waiting.size();
    }

    int slots() {
        return slots;
    }
}
