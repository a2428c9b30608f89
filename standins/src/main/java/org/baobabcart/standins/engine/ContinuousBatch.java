package org.baobabcart.standins.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * Continuous batching as in Orca (Yu et al., OSDI 2022): each step serves every running request, and requests join and
 * leave between steps. The time of a step grows with the number of running requests. Not thread-safe.
 */
final class ContinuousBatch {
    private static final double GROWTH_PER_REQUEST = 0.25;

    private final int slots;
    private final double stepMillis;
    private final List<Generation> running = new ArrayList<>();
    private final PriorityQueue<Waiting> waiting =
            new PriorityQueue<>(Comparator.comparingInt(Waiting::priority).thenComparingLong(Waiting::order));
    private long arrivals;

    private ContinuousBatch(int slots, double stepMillis) {
        this.slots = slots;
        this.stepMillis = stepMillis;
    }

    /** An empty batch. */
    static ContinuousBatch of(int slots, double stepMillis) {
        return new ContinuousBatch(slots, stepMillis);
    }

    private record Waiting(Generation generation, long order) {
        int priority() {
            return generation.priority();
        }
    }

    /** Adds a request to the waiting line. */
    void add(Generation generation) {
        waiting.add(new Waiting(generation, arrivals));
        arrivals++;
    }

    /** The request that gets the next free slot. */
    Optional<Generation> nextInLine() {
        return Optional.ofNullable(waiting.peek()).map(Waiting::generation);
    }

    /** Takes a cancelled request out. */
    void remove(Generation generation) {
        running.remove(generation);
        waiting.removeIf(entry -> entry.generation() == generation);
    }

    /** Fills free slots, the most urgent request first and in order of arrival among equals. */
    void admit() {
        while (running.size() < slots && !waiting.isEmpty()) {
            running.add(waiting.remove().generation());
        }
    }

    /** One step for all running requests; the result are those that are complete and have left. */
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

    /** The time that the next step takes, in milliseconds. */
    double nextStepMillis() {
        return stepMillis * (1 + GROWTH_PER_REQUEST * Math.max(0, running.size() - 1));
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
