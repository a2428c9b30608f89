package org.baobabcart.router.member;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.baobabcart.policy.member.GossipQueue;
import org.baobabcart.policy.member.Liveness;
import org.baobabcart.policy.member.MemberStatement;
import org.baobabcart.policy.member.MembershipTable;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.RingTimeline;
import org.baobabcart.wire.Exchange;
import org.baobabcart.wire.MemberUpdate;

/**
 * Maintains the membership table, this node's own entry and the queue of updates to gossip, and publishes the members
 * on the blackboard. Confined to the control thread.
 */
final class KnownMembers {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int UPDATES_BESIDES_QUEUED = 2;

    private final MembershipSettings settings;
    private final Blackboard blackboard;
    private final TimerService timers;
    private final RingTimeline timeline;
    private final RandomGenerator random;
    private final GossipQueue updateQueue = GossipQueue.create();
    private final Map<String, Long> changedAtNanos = new HashMap<>();
    private MembershipTable table = MembershipTable.empty();
    private MemberStatement self;
    private MembershipTable publishedTable;
    private MemberStatement publishedSelf;

    private KnownMembers(MembershipDependencies dependencies, MemberStatement self) {
        this.settings = dependencies.settings();
        this.blackboard = dependencies.blackboard();
        this.timers = dependencies.timers();
        this.timeline = dependencies.timeline();
        this.random = dependencies.random();
        this.self = self;
    }

    /** Creates a table that contains only this node. */
    static KnownMembers create(MembershipDependencies dependencies, MemberStatement self) {
        return new KnownMembers(dependencies, self);
    }

    MemberStatement self() {
        return self;
    }

    boolean hasQueuedUpdates() {
        return updateQueue.size() > 0;
    }

    /** Returns a digest that is equal on two nodes whose members, apart from dead ones, are the same. */
    long digest() {
        return table.digest() + self.digest();
    }

    /** Returns the members that are not dead and have a peer address. */
    List<MemberStatement> reachable() {
        return table.statements().stream()
                .filter(statement -> statement.liveness() != Liveness.DEAD)
                .filter(statement -> !statement.peerAddress().isEmpty())
                .toList();
    }

    boolean isReachable(String nodeId) {
        return table.of(nodeId)
                .filter(known -> known.liveness() != Liveness.DEAD)
                .isPresent();
    }

    Optional<String> nodeAt(String peerAddress) {
        return table.statements().stream()
                .filter(statement -> statement.peerAddress().equals(peerAddress))
                .map(MemberStatement::nodeId)
                .findFirst();
    }

    /** Marks this node as leaving at the beginning of a planned stop. */
    void leave() {
        self = self.withLiveness(Liveness.LEAVING);
        updateQueue.add(self);
        publish();
    }

    /** Merges a received message. Changes from a message that carries the full list are not queued for gossip. */
    void receive(Exchange incoming) {
        mergeAndQueue(MemberCodec.fromWire(incoming.getSender()));
        boolean fullList = incoming.getUpdatesSize() > settings.maxUpdatesInBurst() + UPDATES_BESIDES_QUEUED;
        for (MemberUpdate update : incoming.getUpdates()) {
            MemberStatement statement = MemberCodec.fromWire(update);
            boolean changed = merge(statement);
            if (changed && !fullList) {
                updateQueue.add(statement);
            }
        }
        publish();
    }

    /**
     * Records that neither this node nor the nodes it asked could reach a member: it becomes suspect, or dead if it was
     * leaving.
     */
    void markUnreachable(MemberStatement target) {
        table.of(target.nodeId())
                .filter(current -> current.incarnation() == target.incarnation())
                .ifPresent(current -> mergeAndQueue(current.withLiveness(afterFailedProbe(current.liveness()))));
        publish();
    }

    private static Liveness afterFailedProbe(Liveness liveness) {
        return switch (liveness) {
            case ALIVE, SUSPECT -> Liveness.SUSPECT;
            case LEAVING, DEAD -> Liveness.DEAD;
        };
    }

    /** Marks members dead whose suspicion timeout has passed. */
    void expireSuspects() {
        long timeout = settings.suspicionTimeout(table.statements().size() + 1).toNanos();
        for (MemberStatement statement : List.copyOf(table.statements())) {
            if (statement.liveness() == Liveness.SUSPECT && unchangedFor(statement, timeout)) {
                mergeAndQueue(statement.withLiveness(Liveness.DEAD));
            }
        }
        publish();
    }

    /** Removes members that have been dead for the retention time. */
    void removeExpiredDead() {
        long retention = settings.deadRetention().toNanos();
        for (MemberStatement statement : List.copyOf(table.statements())) {
            if (statement.liveness() == Liveness.DEAD && unchangedFor(statement, retention)) {
                table = table.without(statement.nodeId());
                changedAtNanos.remove(statement.nodeId());
            }
        }
        publish();
    }

    private boolean unchangedFor(MemberStatement statement, long nanos) {
        return timers.nanoTime() - changedAtNanos.getOrDefault(statement.nodeId(), 0L) >= nanos;
    }

    /**
     * Returns the updates for a message: queued ones, the target's own entry if it is not alive, and one random member
     * or, for a joining node, all members.
     */
    List<MemberUpdate> updates(Optional<String> target, int limit) {
        List<MemberStatement> statements =
                new ArrayList<>(updateQueue.take(limit, table.statements().size() + 1));
        target.flatMap(table::of)
                .filter(statement -> statement.liveness() != Liveness.ALIVE)
                .ifPresent(statements::add);
        if (limit >= settings.maxUpdatesForJoiner()) {
            table.statements().stream().limit(limit).forEach(statements::add);
        } else {
            randomStatement().ifPresent(statements::add);
        }
        return statements.stream().distinct().map(MemberCodec::toWire).toList();
    }

    /** Returns a random member, so that an update that was lost still reaches all nodes eventually. */
    private Optional<MemberStatement> randomStatement() {
        List<MemberStatement> all = List.copyOf(table.statements());
        return all.isEmpty() ? Optional.empty() : Optional.of(all.get(random.nextInt(all.size())));
    }

    /**
     * Publishes the members on the blackboard if they changed. Tables are immutable, so an unchanged table is the same
     * instance.
     */
    void publish() {
        if (table == publishedTable && self.equals(publishedSelf)) {
            return;
        }
        publishedTable = table;
        publishedSelf = self;
        List<Member> others =
                table.statements().stream().map(MemberCodec::toMember).toList();
        blackboard.write(Sections.MEMBERS, new Members(MemberCodec.toMember(self), others));
    }

    private void mergeAndQueue(MemberStatement statement) {
        if (merge(statement)) {
            updateQueue.add(statement);
        }
    }

    /** Merges a statement; returns whether it changed the entry of another member. */
    private boolean merge(MemberStatement statement) {
        if (statement.nodeId().equals(self.nodeId())) {
            refute(statement);
            return false;
        }
        MembershipTable merged = table.with(statement);
        if (merged == table) {
            return false;
        }
        table = merged;
        changedAtNanos.put(statement.nodeId(), timers.nanoTime());
        EventFields fields = describe(statement);
        timeline.record(EventType.MEMBER_CHANGED, fields);
        LOGGER.atInfo().log("event=member_changed %s", fields);
        return true;
    }

    private void refute(MemberStatement statement) {
        if (self.mustRefute(statement)) {
            self = self.refuting(statement);
            updateQueue.add(self);
        }
    }

    private static EventFields describe(MemberStatement statement) {
        return EventFields.of(EventField.MEMBER, statement.nodeId())
                .with(EventField.STATE, statement.liveness())
                .with(EventField.INCARNATION, statement.incarnation());
    }
}
