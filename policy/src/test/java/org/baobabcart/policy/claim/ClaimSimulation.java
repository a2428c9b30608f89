package org.baobabcart.policy.claim;

import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;
import org.baobabcart.policy.claim.ClaimConflictDecision.ClaimantReport;
import org.baobabcart.policy.claim.ClaimOperation.Acquire;

/**
 * Simulates a few routers, a platform and callers that share few keys, in a random history of lost and late messages,
 * outages, pauses, crashes and time jumps. Each node makes the same decisions as the router.
 */
final class ClaimSimulation {
    static final long RETENTION_MILLIS = ClaimJournal.MIN_RETENTION_MILLIS;
    private static final long MILLI = 1_000_000;
    private static final int NODES = 3;
    private static final int KEYS = 3;
    private static final int DRAIN_LIMIT = 200_000;

    /** Defects that can be injected to verify that the checker detects them. */
    enum Defect {
        NONE,
        NO_VERSION_CHECK,
        SENDS_ABANDONED,
        FAST_CLOCK,
        FORGETS_OPEN_CLAIMS
    }

    /** The result of a call as reported to its caller. */
    enum CallOutcome {
        COMPLETED,
        NOT_RUN,
        UNKNOWN
    }

    /** Events that the simulated histories have to cover. */
    enum CoveredEvent {
        RUN,
        REPLAY,
        TAKE_OVER,
        CONFLICT,
        LOST_WRITE,
        LATE_WRITE,
        RETURNED,
        STALE_GRANT,
        TRIM
    }

    private record UpstreamRun(String attemptId, long atNanos) {}

    private record NodeIncarnation(int node, int incarnation) {}

    private record Event(int node, int incarnation, Runnable action) {}

    private final Random random;
    private final Defect defect;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private final List<Call> calls = new ArrayList<>();
    private final Map<ClaimKey, List<UpstreamRun>> runs = new HashMap<>();
    private final Map<CoveredEvent, Integer> coveredEvents = new EnumMap<>(CoveredEvent.class);
    private final JournalObject stored;
    private boolean outage;
    private boolean faultsDisabled;
    private long nowNanos;
    private long nextId;

    ClaimSimulation(long seed, Defect defect) {
        this.random = new Random(seed);
        this.defect = defect;
        this.stored = new JournalObject(defect, random);
        for (int index = 0; index < NODES; index++) {
            Node node = new Node();
            node.clockOffset = random.nextLong() >> 8;
            nodes.add(node);
        }
    }

    /** Runs a history and returns the violated guarantees, or an empty list. */
    List<String> run(int steps) {
        for (int step = 0; step < steps; step++) {
            step();
        }
        disableFaultsAndDrain();
        return violations();
    }

    Map<CoveredEvent, Integer> coveredEvents() {
        return coveredEvents;
    }

    private void step() {
        int roll = random.nextInt(100);
        if (roll < 12) {
            startCall(random.nextInt(NODES));
        } else if (roll < 80) {
            deliver();
        } else if (roll < 88) {
            nowNanos += timeJump();
        } else if (roll < 92) {
            Node node = nodes.get(random.nextInt(NODES));
            node.paused = !node.paused;
        } else if (roll < 94) {
            outage = !outage;
        } else if (roll < 95) {
            crash(random.nextInt(NODES));
        } else {
            openCalls().stream().findAny().ifPresent(call -> toClaimant(call, () -> abandon(call)));
        }
    }

    private long timeJump() {
        int roll = random.nextInt(20);
        if (roll == 0) {
            return (RETENTION_MILLIS + 60_000) * MILLI;
        }
        if (roll < 3) {
            return RETENTION_MILLIS * MILLI / 3;
        }
        return roll < 6 ? Attempt.GRANT_BOUND_NANOS + 1 : random.nextInt(50) * MILLI;
    }

    private void deliver() {
        if (!events.isEmpty()) {
            int index = random.nextInt(events.size());
            Event event = events.get(index);
            if (event.node >= 0 && nodes.get(event.node).paused) {
                return;
            }
            events.remove(index);
            if (event.node < 0 || nodes.get(event.node).incarnation == event.incarnation) {
                event.action.run();
            }
        }
    }

    private void disableFaultsAndDrain() {
        outage = false;
        faultsDisabled = true;
        nodes.forEach(node -> node.paused = false);
        for (int round = 0; round < DRAIN_LIMIT && !events.isEmpty(); round++) {
            deliver();
        }
        openCalls().forEach(this::abandon);
        for (int round = 0; round < DRAIN_LIMIT && !events.isEmpty(); round++) {
            deliver();
        }
    }

    private List<String> violations() {
        List<String> found = new ArrayList<>();
        runs.forEach((key, list) -> {
            for (int index = 1; index < list.size(); index++) {
                if (list.get(index).atNanos - list.get(index - 1).atNanos < RETENTION_MILLIS * MILLI) {
                    found.add("duplicate run: " + key + " " + list);
                }
            }
        });
        calls.stream().filter(call -> call.outcome == null).forEach(call -> found.add("no result: " + call.attemptId));
        calls.stream()
                .filter(call -> call.outcome == CallOutcome.NOT_RUN && ran(call.key, call.attemptId))
                .forEach(call -> found.add("reported as not run, but ran: " + call.attemptId));
        calls.stream()
                .filter(call -> !call.replayed.isEmpty() && !ran(call.key, call.replayed))
                .forEach(call -> found.add("replayed the answer of an attempt that did not run: " + call.attemptId));
        if (!events.isEmpty()) {
            found.add("events left after draining");
        }
        return found;
    }

    private boolean ran(ClaimKey key, String attemptId) {
        return runs.getOrDefault(key, List.of()).stream().anyMatch(run -> run.attemptId.equals(attemptId));
    }

    private List<Call> openCalls() {
        return calls.stream().filter(call -> call.outcome == null).toList();
    }

    // Claimant.

    private void startCall(int index) {
        Node node = nodes.get(index);
        if (node.paused) {
            return;
        }
        Call call =
                new Call(index, node.incarnation, ClaimKey.of("w", "s", "k" + random.nextInt(KEYS)), "a" + nextId++);
        calls.add(call);
        node.attempts.put(call.attemptId, Attempt.requested(now(node)));
        Acquire acquire = new Acquire(
                call.key, "digest", call.attemptId, String.valueOf(index), RETENTION_MILLIS, Optional.empty());
        int requestCount = 1 + random.nextInt(2);
        for (int request = 0; request < requestCount; request++) {
            int target = random.nextInt(NODES);
            send(
                    target,
                    () -> serve(target, acquire, 3, verdict -> {
                        if (!isLost()) {
                            toClaimant(call, () -> decide(call, verdict));
                        }
                    }));
        }
    }

    private void decide(Call call, ClaimResult verdict) {
        Node node = nodes.get(call.node);
        switch (verdict.kind()) {
            case GRANTED -> {
                Attempt attempt =
                        node.attempts.get(call.attemptId).at(now(node)).granted();
                node.attempts.put(call.attemptId, attempt);
                if (attempt.state() == Attempt.State.GRANTED || defect == Defect.SENDS_ABANDONED) {
                    toClaimant(call, () -> dispatch(call));
                } else {
                    count(CoveredEvent.STALE_GRANT);
                    abandon(call);
                }
            }
            case REPLAY -> {
                if (call.outcome == null) {
                    count(CoveredEvent.REPLAY);
                    call.replayed =
                            verdict.claim().orElseThrow().answer().orElseThrow().body();
                    call.complete(CallOutcome.COMPLETED);
                }
            }
            case HELD, OUTCOME_UNKNOWN, KEY_REUSED -> refuse(call);
            default -> abandon(call);
        }
    }

    private void refuse(Call call) {
        Node node = nodes.get(call.node);
        if (node.attempts.get(call.attemptId).state() == Attempt.State.REQUESTED) {
            node.attempts.computeIfPresent(call.attemptId, (id, attempt) -> attempt.abandoned());
            call.complete(CallOutcome.UNKNOWN);
        }
    }

    private void dispatch(Call call) {
        Node node = nodes.get(call.node);
        Attempt before = node.attempts.get(call.attemptId);
        Attempt after = before.dispatched(now(node));
        boolean sends = after.state() == Attempt.State.DISPATCHED && before.state() != Attempt.State.DISPATCHED;
        if (defect == Defect.SENDS_ABANDONED && after.state() == Attempt.State.ABANDONED) {
            sends = true;
            after = new Attempt(Attempt.State.DISPATCHED, before.requestedNanos());
        }
        node.attempts.put(call.attemptId, after);
        if (sends) {
            runUpstream(call);
        } else {
            abandon(call);
        }
    }

    private void runUpstream(Call call) {
        if (random.nextInt(10) == 0) {
            Node node = nodes.get(call.node);
            if (random.nextBoolean()) {
                count(CoveredEvent.RETURNED);
                node.attempts.computeIfPresent(call.attemptId, (id, attempt) -> attempt.returned());
                toClaimant(call, () -> dispatch(call));
                return;
            }
            node.attempts.computeIfPresent(call.attemptId, (id, attempt) -> attempt.notRun());
            call.complete(CallOutcome.NOT_RUN);
            settle(call, new ClaimOperation.Release(call.key, call.attemptId));
            return;
        }
        count(CoveredEvent.RUN);
        runs.computeIfAbsent(call.key, key -> new ArrayList<>()).add(new UpstreamRun(call.attemptId, nowNanos));
        boolean known = random.nextInt(6) != 0;
        toClaimant(call, () -> {
            call.complete(known ? CallOutcome.COMPLETED : CallOutcome.UNKNOWN);
            JournaledAnswer answer = JournaledAnswer.of(200, Map.of(), call.attemptId);
            settle(
                    call,
                    known
                            ? new ClaimOperation.Finish(call.key, call.attemptId, answer)
                            : new ClaimOperation.MarkUnknown(call.key, call.attemptId));
        });
    }

    private void abandon(Call call) {
        Node node = nodes.get(call.node);
        Attempt attempt = node.attempts.computeIfPresent(call.attemptId, (id, old) -> old.abandoned());
        if (attempt != null && attempt.state() == Attempt.State.ABANDONED) {
            call.complete(CallOutcome.NOT_RUN);
            settle(call, new ClaimOperation.Release(call.key, call.attemptId));
        }
    }

    private void settle(Call call, ClaimOperation operation) {
        int target = random.nextInt(NODES);
        Runnable again = () -> settle(call, operation);
        if (isLost()) {
            toClaimant(call, again);
            return;
        }
        at(
                target,
                () -> submit(
                        target,
                        operation,
                        result -> toClaimant(call, () -> {
                            if (result.kind() == ClaimResult.Kind.UNAVAILABLE) {
                                again.run();
                            }
                        })));
    }

    private void crash(int index) {
        nodes.get(index).crash(random.nextLong() >> 8);
        openCalls().stream().filter(call -> call.node == index).forEach(call -> call.complete(CallOutcome.UNKNOWN));
    }

    // Owner.

    private void serve(int index, Acquire acquire, int remainingTakeOvers, Consumer<ClaimResult> reply) {
        submit(index, acquire, result -> {
            if (result.kind() != ClaimResult.Kind.HELD) {
                reply.accept(result);
                return;
            }
            Claim claim = result.claim().orElseThrow();
            report(new NodeIncarnation(index, nodes.get(index).incarnation), claim, report -> {
                ClaimConflictDecision decision = ClaimConflictDecision.of(claim, acquire.callDigest(), report);
                if (decision == ClaimConflictDecision.TAKE_OVER && remainingTakeOvers > 0) {
                    count(CoveredEvent.TAKE_OVER);
                    serve(index, acquire.replacing(claim.attemptId()), remainingTakeOvers - 1, reply);
                } else {
                    reply.accept(result);
                }
            });
        });
    }

    private void report(NodeIncarnation caller, Claim claim, Consumer<ClaimantReport> reply) {
        int claimant = Integer.parseInt(claim.claimant());
        Node node = nodes.get(claimant);
        if (isLost() || node.paused) {
            events.add(new Event(caller.node, caller.incarnation, () -> reply.accept(ClaimantReport.UNREACHABLE)));
            return;
        }
        at(claimant, () -> {
            Attempt attempt = node.attempts.computeIfPresent(claim.attemptId(), (id, old) -> old.at(now(node)));
            ClaimantReport report = attempt == null
                    ? ClaimantReport.UNSEEN
                    : switch (attempt.state()) {
                        case REQUESTED, GRANTED -> ClaimantReport.WAITING;
                        case DISPATCHED -> ClaimantReport.DISPATCHED;
                        case ABANDONED -> ClaimantReport.ABANDONED;
                    };
            events.add(new Event(caller.node, caller.incarnation, () -> reply.accept(report)));
        });
    }

    private void submit(int index, ClaimOperation operation, Consumer<ClaimResult> callback) {
        Node node = nodes.get(index);
        long ticket = nextId++;
        node.tickets.put(ticket, callback);
        node.owner = node.owner.submit(
                new PendingOperation(ticket, operation, now(node), now(node) + Attempt.GRANT_BOUND_NANOS));
        proceed(index);
    }

    private void proceed(int index) {
        Node node = nodes.get(index);
        applyStep(index, node.owner.proceed(now(node), "w" + nextId++));
    }

    private void applyStep(int index, JournalOwnerStep step) {
        Node node = nodes.get(index);
        node.owner = step.owner();
        step.command().ifPresent(command -> execute(index, command));
        step.results().forEach(result -> {
            Consumer<ClaimResult> callback = node.tickets.remove(result.ticket());
            if (callback != null) {
                callback.accept(result.result());
            }
        });
    }

    /** Reports the result of a platform call to the node, unless it has restarted since the call. */
    private void reportResult(NodeIncarnation caller, Function<JournalOwner, JournalOwnerStep> event) {
        events.add(new Event(caller.node, caller.incarnation, () -> {
            applyStep(caller.node, event.apply(nodes.get(caller.node).owner));
            proceed(caller.node);
        }));
    }

    private void execute(int index, JournalOwnerStep.Command command) {
        Node node = nodes.get(index);
        NodeIncarnation caller = new NodeIncarnation(index, node.incarnation);
        if (command instanceof JournalOwnerStep.Read) {
            platform(() -> read(caller));
        } else if (command instanceof JournalOwnerStep.Write write) {
            platform(() -> write(caller, write));
        } else if (command instanceof JournalOwnerStep.Pause pause) {
            at(index, () -> {
                nowNanos += pause.delayNanos();
                node.owner = node.owner.resumed();
                proceed(index);
            });
        }
    }

    // Platform.

    private void read(NodeIncarnation caller) {
        if (outage || isLost()) {
            reportResult(caller, owner -> owner.readFailed());
            return;
        }
        ClaimJournal journal = stored.journal();
        String version = stored.version();
        reportResult(caller, owner -> owner.readSucceeded(journal, version, now(nodes.get(caller.node))));
    }

    private void write(NodeIncarnation caller, JournalOwnerStep.Write write) {
        if (outage) {
            reportResult(caller, owner -> owner.writeFailed());
            return;
        }
        if (isLost()) {
            count(CoveredEvent.LATE_WRITE);
            reportResult(caller, owner -> owner.writeOutcomeUnknown());
            platform(() -> applyWrite(write));
            return;
        }
        boolean applied = applyWrite(write);
        String version = stored.version();
        if (isLost()) {
            count(CoveredEvent.LOST_WRITE);
            reportResult(caller, owner -> owner.writeOutcomeUnknown());
        } else if (applied) {
            reportResult(caller, owner -> owner.writeSucceeded(version, now(nodes.get(caller.node))));
        } else {
            count(CoveredEvent.CONFLICT);
            reportResult(caller, owner -> owner.writeConflicted());
        }
    }

    private boolean applyWrite(JournalOwnerStep.Write write) {
        Collection<Claim> before = stored.journal().claims().values();
        boolean applied = stored.update(write);
        boolean trimmed = before.stream()
                .filter(claim -> claim.state() == Claim.State.FINISHED)
                .anyMatch(claim -> stored.journal().claim(claim.key()).isEmpty());
        if (trimmed) {
            count(CoveredEvent.TRIM);
        }
        return applied;
    }

    // Time and messages.

    private long now(Node node) {
        return node.clockOffset + (defect == Defect.FAST_CLOCK ? 3 * nowNanos : nowNanos);
    }

    private boolean isLost() {
        return !faultsDisabled && random.nextInt(10) == 0;
    }

    private void send(int target, Runnable action) {
        if (!isLost()) {
            at(target, action);
        }
    }

    private void at(int node, Runnable action) {
        events.add(new Event(node, nodes.get(node).incarnation, action));
    }

    /** Delivers to the node that started the call, unless it has restarted since. */
    private void toClaimant(Call call, Runnable action) {
        events.add(new Event(call.node, call.incarnation, action));
    }

    private void platform(Runnable action) {
        events.add(new Event(-1, 0, action));
    }

    private void count(CoveredEvent coveredEvent) {
        coveredEvents.merge(coveredEvent, 1, Integer::sum);
    }
}
