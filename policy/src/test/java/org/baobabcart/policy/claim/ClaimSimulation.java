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
 * A few routers, a platform and callers who share few keys, driven through a random history of lost and late messages,
 * outages, pauses, crashes and leaps of time. Each node runs the same decisions as the router does.
 */
final class ClaimSimulation {
    static final long RETENTION_MILLIS = ClaimJournal.MIN_RETENTION_MILLIS;
    private static final long MILLI = 1_000_000;
    private static final int NODES = 3;
    private static final int KEYS = 3;
    private static final int DRAIN_LIMIT = 200_000;

    /** Decisions left out on purpose, so that the checker can be seen to find what they prevent. */
    enum Defect {
        NONE,
        NO_VERSION_CHECK,
        SENDS_ABANDONED,
        FAST_CLOCK,
        FORGETS_OPEN_CLAIMS
    }

    /** How a call ended for its caller. */
    enum End {
        OUTCOME,
        NOT_RUN,
        UNKNOWN
    }

    /** What happened, so that a test can see that the histories are worth their name. */
    enum Happening {
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

    private record Run(String attemptId, long atNanos) {}

    private record Caller(int node, int life) {}

    private record Event(int node, int life, Runnable action) {}

    private final Random random;
    private final Defect defect;
    private final List<Node> nodes = new ArrayList<>();
    private final List<Event> events = new ArrayList<>();
    private final List<Call> calls = new ArrayList<>();
    private final Map<ClaimKey, List<Run>> runs = new HashMap<>();
    private final Map<Happening, Integer> happenings = new EnumMap<>(Happening.class);
    private final JournalObject stored;
    private boolean outage;
    private boolean healed;
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

    /** Runs a history and returns what it broke; empty where all held. */
    List<String> run(int steps) {
        for (int step = 0; step < steps; step++) {
            step();
        }
        heal();
        return violations();
    }

    Map<Happening, Integer> happenings() {
        return happenings;
    }

    private void step() {
        int dice = random.nextInt(100);
        if (dice < 12) {
            startCall(random.nextInt(NODES));
        } else if (dice < 80) {
            deliver();
        } else if (dice < 88) {
            nowNanos += leap();
        } else if (dice < 92) {
            Node node = nodes.get(random.nextInt(NODES));
            node.paused = !node.paused;
        } else if (dice < 94) {
            outage = !outage;
        } else if (dice < 95) {
            crash(random.nextInt(NODES));
        } else {
            undecided().stream().findAny().ifPresent(call -> toClaimant(call, () -> giveUp(call)));
        }
    }

    private long leap() {
        int dice = random.nextInt(20);
        if (dice == 0) {
            return (RETENTION_MILLIS + 60_000) * MILLI;
        }
        if (dice < 3) {
            return RETENTION_MILLIS * MILLI / 3;
        }
        return dice < 6 ? Attempt.GRANT_BOUND_NANOS + 1 : random.nextInt(50) * MILLI;
    }

    private void deliver() {
        if (!events.isEmpty()) {
            int index = random.nextInt(events.size());
            Event event = events.get(index);
            if (event.node >= 0 && nodes.get(event.node).paused) {
                return;
            }
            events.remove(index);
            if (event.node < 0 || nodes.get(event.node).life == event.life) {
                event.action.run();
            }
        }
    }

    private void heal() {
        outage = false;
        healed = true;
        nodes.forEach(node -> node.paused = false);
        for (int round = 0; round < DRAIN_LIMIT && !events.isEmpty(); round++) {
            deliver();
        }
        undecided().forEach(this::giveUp);
        for (int round = 0; round < DRAIN_LIMIT && !events.isEmpty(); round++) {
            deliver();
        }
    }

    private List<String> violations() {
        List<String> found = new ArrayList<>();
        runs.forEach((key, list) -> {
            for (int index = 1; index < list.size(); index++) {
                if (list.get(index).atNanos - list.get(index - 1).atNanos < RETENTION_MILLIS * MILLI) {
                    found.add("doubled: " + key + " " + list);
                }
            }
        });
        calls.stream().filter(call -> call.end == null).forEach(call -> found.add("no end: " + call.attemptId));
        calls.stream()
                .filter(call -> call.end == End.NOT_RUN && ran(call.key, call.attemptId))
                .forEach(call -> found.add("not run, yet it ran: " + call.attemptId));
        calls.stream()
                .filter(call -> !call.replayed.isEmpty() && !ran(call.key, call.replayed))
                .forEach(call -> found.add("another call's answer: " + call.attemptId));
        if (!events.isEmpty()) {
            found.add("never quiet");
        }
        return found;
    }

    private boolean ran(ClaimKey key, String attemptId) {
        return runs.getOrDefault(key, List.of()).stream().anyMatch(run -> run.attemptId.equals(attemptId));
    }

    private List<Call> undecided() {
        return calls.stream().filter(call -> call.end == null).toList();
    }

    // The claimant's part.

    private void startCall(int nodeIndex) {
        Node node = nodes.get(nodeIndex);
        if (node.paused) {
            return;
        }
        Call call = new Call(nodeIndex, node.life, ClaimKey.of("w", "s", "k" + random.nextInt(KEYS)), "a" + nextId++);
        calls.add(call);
        node.attempts.put(call.attemptId, Attempt.requested(now(node)));
        Acquire acquire = new Acquire(
                call.key, "digest", call.attemptId, String.valueOf(nodeIndex), RETENTION_MILLIS, Optional.empty());
        int asks = 1 + random.nextInt(2);
        for (int ask = 0; ask < asks; ask++) {
            int target = random.nextInt(NODES);
            send(
                    target,
                    () -> serve(target, acquire, 3, verdict -> {
                        if (!lost()) {
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
                    count(Happening.STALE_GRANT);
                    giveUp(call);
                }
            }
            case REPLAY -> {
                if (call.end == null) {
                    count(Happening.REPLAY);
                    call.replayed =
                            verdict.claim().orElseThrow().answer().orElseThrow().body();
                    call.end(End.OUTCOME);
                }
            }
            case HELD, OUTCOME_UNKNOWN, KEY_REUSED -> refuse(call);
            default -> giveUp(call);
        }
    }

    private void refuse(Call call) {
        Node node = nodes.get(call.node);
        if (node.attempts.get(call.attemptId).state() == Attempt.State.REQUESTED) {
            node.attempts.computeIfPresent(call.attemptId, (id, attempt) -> attempt.abandoned());
            call.end(End.UNKNOWN);
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
            giveUp(call);
        }
    }

    private void runUpstream(Call call) {
        if (random.nextInt(10) == 0) {
            Node node = nodes.get(call.node);
            if (random.nextBoolean()) {
                count(Happening.RETURNED);
                node.attempts.computeIfPresent(call.attemptId, (id, attempt) -> attempt.returned());
                toClaimant(call, () -> dispatch(call));
                return;
            }
            node.attempts.computeIfPresent(call.attemptId, (id, attempt) -> attempt.notRun());
            call.end(End.NOT_RUN);
            settle(call, new ClaimOperation.Release(call.key, call.attemptId));
            return;
        }
        count(Happening.RUN);
        runs.computeIfAbsent(call.key, key -> new ArrayList<>()).add(new Run(call.attemptId, nowNanos));
        boolean known = random.nextInt(6) != 0;
        toClaimant(call, () -> {
            call.end(known ? End.OUTCOME : End.UNKNOWN);
            JournaledAnswer answer = JournaledAnswer.of(200, Map.of(), call.attemptId);
            settle(
                    call,
                    known
                            ? new ClaimOperation.Finish(call.key, call.attemptId, answer)
                            : new ClaimOperation.MarkUnknown(call.key, call.attemptId));
        });
    }

    private void giveUp(Call call) {
        Node node = nodes.get(call.node);
        Attempt attempt = node.attempts.computeIfPresent(call.attemptId, (id, old) -> old.abandoned());
        if (attempt != null && attempt.state() == Attempt.State.ABANDONED) {
            call.end(End.NOT_RUN);
            settle(call, new ClaimOperation.Release(call.key, call.attemptId));
        }
    }

    private void settle(Call call, ClaimOperation operation) {
        int target = random.nextInt(NODES);
        Runnable again = () -> settle(call, operation);
        if (lost()) {
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

    private void crash(int nodeIndex) {
        nodes.get(nodeIndex).crash(random.nextLong() >> 8);
        undecided().stream().filter(call -> call.node == nodeIndex).forEach(call -> call.end(End.UNKNOWN));
    }

    // The owner's part.

    private void serve(int nodeIndex, Acquire acquire, int takeOversLeft, Consumer<ClaimResult> reply) {
        submit(nodeIndex, acquire, result -> {
            if (result.kind() != ClaimResult.Kind.HELD) {
                reply.accept(result);
                return;
            }
            Claim claim = result.claim().orElseThrow();
            report(new Caller(nodeIndex, nodes.get(nodeIndex).life), claim, report -> {
                ClaimConflictDecision rule = ClaimConflictDecision.of(claim, acquire.callDigest(), report);
                if (rule == ClaimConflictDecision.TAKE_OVER && takeOversLeft > 0) {
                    count(Happening.TAKE_OVER);
                    serve(nodeIndex, acquire.replacing(claim.attemptId()), takeOversLeft - 1, reply);
                } else {
                    reply.accept(result);
                }
            });
        });
    }

    private void report(Caller asker, Claim claim, Consumer<ClaimantReport> reply) {
        int claimant = Integer.parseInt(claim.claimant());
        Node node = nodes.get(claimant);
        if (lost() || node.paused) {
            events.add(new Event(asker.node, asker.life, () -> reply.accept(ClaimantReport.UNREACHABLE)));
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
            events.add(new Event(asker.node, asker.life, () -> reply.accept(report)));
        });
    }

    private void submit(int nodeIndex, ClaimOperation operation, Consumer<ClaimResult> waiter) {
        Node node = nodes.get(nodeIndex);
        long ticket = nextId++;
        node.tickets.put(ticket, waiter);
        node.owner = node.owner.submit(
                new PendingOperation(ticket, operation, now(node), now(node) + Attempt.GRANT_BOUND_NANOS));
        proceed(nodeIndex);
    }

    private void proceed(int nodeIndex) {
        Node node = nodes.get(nodeIndex);
        take(nodeIndex, node.owner.proceed(now(node), "w" + nextId++));
    }

    private void take(int nodeIndex, JournalOwnerStep step) {
        Node node = nodes.get(nodeIndex);
        node.owner = step.owner();
        step.command().ifPresent(command -> execute(nodeIndex, command));
        step.results().forEach(answer -> {
            Consumer<ClaimResult> waiter = node.tickets.remove(answer.ticket());
            if (waiter != null) {
                waiter.accept(answer.result());
            }
        });
    }

    /** Reports the end of a call to the life of the node that made it. */
    private void ended(Caller caller, Function<JournalOwner, JournalOwnerStep> event) {
        events.add(new Event(caller.node, caller.life, () -> {
            take(caller.node, event.apply(nodes.get(caller.node).owner));
            proceed(caller.node);
        }));
    }

    private void execute(int nodeIndex, JournalOwnerStep.Command command) {
        Node node = nodes.get(nodeIndex);
        Caller caller = new Caller(nodeIndex, node.life);
        if (command instanceof JournalOwnerStep.Read) {
            platform(() -> read(caller));
        } else if (command instanceof JournalOwnerStep.Write write) {
            platform(() -> write(caller, write));
        } else if (command instanceof JournalOwnerStep.Pause pause) {
            at(nodeIndex, () -> {
                nowNanos += pause.delayNanos();
                node.owner = node.owner.resumed();
                proceed(nodeIndex);
            });
        }
    }

    // The platform's part.

    private void read(Caller caller) {
        if (outage || lost()) {
            ended(caller, owner -> owner.readFailed());
            return;
        }
        ClaimJournal journal = stored.journal();
        String version = stored.version();
        ended(caller, owner -> owner.readSucceeded(journal, version, now(nodes.get(caller.node))));
    }

    private void write(Caller caller, JournalOwnerStep.Write write) {
        if (outage) {
            ended(caller, owner -> owner.writeFailed());
            return;
        }
        if (lost()) {
            count(Happening.LATE_WRITE);
            ended(caller, owner -> owner.writeOutcomeUnknown());
            platform(() -> land(write));
            return;
        }
        boolean landed = land(write);
        String version = stored.version();
        if (lost()) {
            count(Happening.LOST_WRITE);
            ended(caller, owner -> owner.writeOutcomeUnknown());
        } else if (landed) {
            ended(caller, owner -> owner.writeSucceeded(version, now(nodes.get(caller.node))));
        } else {
            count(Happening.CONFLICT);
            ended(caller, owner -> owner.writeConflicted());
        }
    }

    private boolean land(JournalOwnerStep.Write write) {
        Collection<Claim> before = stored.journal().claims().values();
        boolean landed = stored.update(write);
        boolean trimmed = before.stream()
                .filter(claim -> claim.state() == Claim.State.FINISHED)
                .anyMatch(claim -> stored.journal().claim(claim.key()).isEmpty());
        if (trimmed) {
            count(Happening.TRIM);
        }
        return landed;
    }

    // Time and messages.

    private long now(Node node) {
        return node.clockOffset + (defect == Defect.FAST_CLOCK ? 3 * nowNanos : nowNanos);
    }

    private boolean lost() {
        return !healed && random.nextInt(10) == 0;
    }

    private void send(int target, Runnable action) {
        if (!lost()) {
            at(target, action);
        }
    }

    private void at(int node, Runnable action) {
        events.add(new Event(node, nodes.get(node).life, action));
    }

    /** Delivers to the life of the node that began the call. */
    private void toClaimant(Call call, Runnable action) {
        events.add(new Event(call.node, call.life, action));
    }

    private void platform(Runnable action) {
        events.add(new Event(-1, 0, action));
    }

    private void count(Happening happening) {
        happenings.merge(happening, 1, Integer::sum);
    }
}
