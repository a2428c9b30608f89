package org.baobabcart.policy.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** A platform cell, nodes with clocks of their own and one engine that ignores fencing numbers. */
final class LeaseSimulation {
    static final int NODES = 3;
    static final long LONGEST_STEP_MILLIS = 4_000;
    private static final long STEP_MILLIS_PER_FLIGHT_MILLI = 40;
    private static final long LONGEST_FLIGHT_MILLIS = 1_800;

    enum Action {
        READ_AND_TAKE,
        TAKE_AND_LOSE_ANSWER,
        RENEW,
        RENEW_AND_LOSE_ANSWER,
        RELEASE,
        ORDER,
        WAIT
    }

    record Step(int node, Action action, long millis) {}

    private record Order(long fencing, long arrivesAtNanos) {}

    private final LeaseTerms terms;
    private final Node[] nodes = new Node[NODES];
    private final List<Order> orders = new ArrayList<>();
    private LeaseRecord record = LeaseRecord.free();
    private long version = 1;
    private long trueNanos;

    LeaseSimulation(LeaseTerms terms) {
        this.terms = terms;
        for (int index = 0; index < NODES; index++) {
            nodes[index] = new Node("node-" + index, index * 1_000_000_000_000L - 7, 0.9 + 0.1 * index);
        }
    }

    void run(Step step) {
        Node node = nodes[step.node()];
        long flight = step.millis() / STEP_MILLIS_PER_FLIGHT_MILLI;
        switch (step.action()) {
            case READ_AND_TAKE -> node.readAndTake(true, flight);
            case TAKE_AND_LOSE_ANSWER -> node.readAndTake(false, flight);
            case RENEW -> node.renew(true, flight);
            case RENEW_AND_LOSE_ANSWER -> node.renew(false, flight);
            case RELEASE -> node.release();
            case ORDER -> node.order(step.millis() * LONGEST_FLIGHT_MILLIS / LONGEST_STEP_MILLIS);
            default -> pass(step.millis());
        }
    }

    long holders() {
        return Arrays.stream(nodes).filter(Node::mayAct).count();
    }

    long fencing() {
        return record.fencing();
    }

    void deliverAll() {
        orders.sort(Comparator.comparingLong(Order::arrivesAtNanos));
    }

    int obeyedOutOfOrder() {
        long greatest = 0;
        int outOfOrder = 0;
        for (Order order : orders) {
            if (order.fencing() < greatest) {
                outOfOrder++;
            }
            greatest = Math.max(greatest, order.fencing());
        }
        return outOfOrder;
    }

    private void pass(long millis) {
        trueNanos += Duration.ofMillis(millis).toNanos();
    }

    private boolean write(long expectedVersion, LeaseRecord written) {
        if (expectedVersion != version) {
            return false;
        }
        version++;
        record = written;
        return true;
    }

    private final class Node {
        private final String name;
        private final long offset;
        private final double rate;
        private Optional<LeaseObservation> seen = Optional.empty();
        private Optional<HeldLease> held = Optional.empty();
        private long heldVersion;

        Node(String name, long offset, double rate) {
            this.name = name;
            this.offset = offset;
            this.rate = rate;
        }

        boolean mayAct() {
            return held.map(lease -> lease.mayAct(now())).orElse(false);
        }

        void readAndTake(boolean answered, long flightMillis) {
            LeaseObservation observation = seen.map(known -> known.then(Long.toString(version), record, now()))
                    .orElseGet(() -> LeaseObservation.first(Long.toString(version), record, now()));
            seen = Optional.of(observation);
            if (!observation.mayTake(now(), terms)) {
                return;
            }
            long sentAt = now();
            LeaseRecord taken = record.takenBy(name);
            long expected = version;
            pass(flightMillis);
            boolean accepted = write(expected, taken);
            pass(flightMillis);
            if (accepted && answered) {
                held = Optional.of(HeldLease.taken(taken.fencing(), sentAt, terms));
                heldVersion = version;
            }
        }

        void renew(boolean answered, long flightMillis) {
            if (!mayAct()) {
                held = Optional.empty();
                return;
            }
            long sentAt = now();
            pass(flightMillis);
            boolean accepted = write(heldVersion, record);
            pass(flightMillis);
            if (accepted && answered) {
                heldVersion = version;
                held = held.map(lease -> lease.renewed(sentAt));
            } else {
                held = accepted ? held : Optional.empty();
            }
        }

        void release() {
            if (mayAct()) {
                write(heldVersion, record.released());
            }
            held = Optional.empty();
        }

        void order(long flightMillis) {
            held.filter(lease -> lease.mayActUnfenced(now())).ifPresent(lease -> {
                long arrives = trueNanos + Duration.ofMillis(flightMillis).toNanos();
                orders.add(new Order(lease.fencing(), arrives));
            });
        }

        private long now() {
            return offset + (long) (trueNanos * rate);
        }
    }
}
