package org.baobabcart.policy.lease;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Simulates a lease stored in the platform, nodes with clocks of their own and one engine that ignores fencing
 * numbers.
 */
final class LeaseSimulation {
    static final int NODES = 3;
    static final long MAXIMUM_STEP_MILLIS = 4_000;
    private static final long STEP_MILLIS_PER_FLIGHT_MILLI = 40;
    private static final long MAXIMUM_FLIGHT_MILLIS = 1_800;

    enum Action {
        READ_AND_ACQUIRE,
        ACQUIRE_AND_LOSE_RESPONSE,
        RENEW,
        RENEW_AND_LOSE_RESPONSE,
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
            case READ_AND_ACQUIRE -> node.readAndAcquire(true, flight);
            case ACQUIRE_AND_LOSE_RESPONSE -> node.readAndAcquire(false, flight);
            case RENEW -> node.renew(true, flight);
            case RENEW_AND_LOSE_RESPONSE -> node.renew(false, flight);
            case RELEASE -> node.release();
            case ORDER -> node.order(step.millis() * MAXIMUM_FLIGHT_MILLIS / MAXIMUM_STEP_MILLIS);
            default -> advance(step.millis());
        }
    }

    long holders() {
        return Arrays.stream(nodes).filter(Node::mayAct).count();
    }

    long fencing() {
        return record.fencing();
    }

    void deliverOrders() {
        orders.sort(Comparator.comparingLong(Order::arrivesAtNanos));
    }

    int countOutOfOrder() {
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

    private void advance(long millis) {
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
        private Optional<LeaseObservation> observed = Optional.empty();
        private Optional<HeldLease> heldLease = Optional.empty();
        private long heldVersion;

        Node(String name, long offset, double rate) {
            this.name = name;
            this.offset = offset;
            this.rate = rate;
        }

        boolean mayAct() {
            return heldLease.map(lease -> lease.mayAct(now())).orElse(false);
        }

        void readAndAcquire(boolean responseReceived, long flightMillis) {
            LeaseObservation observation = observed.map(known -> known.withRead(Long.toString(version), record, now()))
                    .orElseGet(() -> LeaseObservation.first(Long.toString(version), record, now()));
            observed = Optional.of(observation);
            if (!observation.mayAcquire(now(), terms)) {
                return;
            }
            long sentAt = now();
            LeaseRecord acquired = record.acquiredBy(name);
            long expected = version;
            advance(flightMillis);
            boolean accepted = write(expected, acquired);
            advance(flightMillis);
            if (accepted && responseReceived) {
                heldLease = Optional.of(HeldLease.acquired(acquired.fencing(), sentAt, terms));
                heldVersion = version;
            }
        }

        void renew(boolean responseReceived, long flightMillis) {
            if (!mayAct()) {
                heldLease = Optional.empty();
                return;
            }
            long sentAt = now();
            advance(flightMillis);
            boolean accepted = write(heldVersion, record);
            advance(flightMillis);
            if (accepted && responseReceived) {
                heldVersion = version;
                heldLease = heldLease.map(lease -> lease.renewed(sentAt));
            } else {
                heldLease = accepted ? heldLease : Optional.empty();
            }
        }

        void release() {
            if (mayAct()) {
                write(heldVersion, record.released());
            }
            heldLease = Optional.empty();
        }

        void order(long flightMillis) {
            heldLease.filter(lease -> lease.mayActUnfenced(now())).ifPresent(lease -> {
                long arrives = trueNanos + Duration.ofMillis(flightMillis).toNanos();
                orders.add(new Order(lease.fencing(), arrives));
            });
        }

        private long now() {
            return offset + (long) (trueNanos * rate);
        }
    }
}
