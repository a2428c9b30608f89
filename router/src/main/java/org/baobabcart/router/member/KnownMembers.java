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
 * What this node knows of the members and itself, the news that it has to pass on, and the section of the blackboard that
 * shows both. Confined to the control thread.
 */
final class KnownMembers {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int UPDATES_BESIDES_NEWS = 2;

    private final MembershipSettings settings;
    private final Blackboard blackboard;
    private final TimerService timers;
    private final RingTimeline timeline;
    private final RandomGenerator random;
    private final GossipQueue news = GossipQueue.create();
    private final Map<String, Long> changedAtNanos = new HashMap<>();
    private MembershipTable table = MembershipTable.empty();
    private MemberStatement self;
    private MembershipTable publishedTable;
    private MemberStatement publishedSelf;

    private KnownMembers(MembershipDependencies parts, MemberStatement self) {
        this.settings = parts.settings();
        this.blackboard = parts.blackboard();
        this.timers = parts.timers();
        this.timeline = parts.timeline();
        this.random = parts.random();
        this.self = self;
    }

    /** Knows this node only. */
    static KnownMembers create(MembershipDependencies parts, MemberStatement self) {
        return new KnownMembers(parts, self);
    }

    MemberStatement self() {
        return self;
    }

    boolean hasNews() {
        return news.size() > 0;
    }

    /** The same at two nodes that know the same members that are not dead. */
    long digest() {
        return table.digest() + self.digest();
    }

    /** The members that may answer. */
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

    /** States that this node has begun a planned stop. */
    void leave() {
        self = self.withLiveness(Liveness.LEAVING);
        news.add(self);
        publish();
    }

    /** Takes in what a message tells; the changes of a whole list are not passed on as news. */
    void take(Exchange incoming) {
        learn(MemberCodec.fromWire(incoming.getSender()));
        boolean wholeList = incoming.getUpdatesSize() > settings.maxUpdatesInBurst() + UPDATES_BESIDES_NEWS;
        for (MemberUpdate update : incoming.getUpdates()) {
            MemberStatement statement = MemberCodec.fromWire(update);
            boolean changed = merge(statement);
            if (changed && !wholeList) {
                news.add(statement);
            }
        }
        publish();
    }

    /** Takes in that neither this node nor others could reach a member. */
    void missed(MemberStatement target) {
        table.of(target.nodeId())
                .filter(current -> current.incarnation() == target.incarnation())
                .ifPresent(current -> learn(current.withLiveness(afterMiss(current.liveness()))));
        publish();
    }

    private static Liveness afterMiss(Liveness liveness) {
        return switch (liveness) {
            case ALIVE, SUSPECT -> Liveness.SUSPECT;
            case LEAVING, DEAD -> Liveness.DEAD;
        };
    }

    /** Takes those for dead that were suspected for long enough. */
    void expireSuspects() {
        long timeout = settings.suspicionTimeout(table.statements().size() + 1).toNanos();
        for (MemberStatement statement : List.copyOf(table.statements())) {
            if (statement.liveness() == Liveness.SUSPECT && unchangedFor(statement, timeout)) {
                learn(statement.withLiveness(Liveness.DEAD));
            }
        }
        publish();
    }

    /** Forgets those that have been dead for long. */
    void forgetDead() {
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

    /** Statements for a message: news, what concerns its target, and one member more or, for a joiner, all. */
    List<MemberUpdate> updates(Optional<String> target, int limit) {
        List<MemberStatement> statements =
                new ArrayList<>(news.take(limit, table.statements().size() + 1));
        target.flatMap(table::of)
                .filter(statement -> statement.liveness() != Liveness.ALIVE)
                .ifPresent(statements::add);
        if (limit >= settings.maxUpdatesForJoiner()) {
            table.statements().stream().limit(limit).forEach(statements::add);
        } else {
            anyStatement().ifPresent(statements::add);
        }
        return statements.stream().distinct().map(MemberCodec::toWire).toList();
    }

    /** One member at random, so that news that was missed still gets everywhere in time. */
    private Optional<MemberStatement> anyStatement() {
        List<MemberStatement> all = List.copyOf(table.statements());
        return all.isEmpty() ? Optional.empty() : Optional.of(all.get(random.nextInt(all.size())));
    }

    /** Shows a change on the blackboard; tables are immutable, so that an unchanged one is the same instance. */
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

    private void learn(MemberStatement statement) {
        if (merge(statement)) {
            news.add(statement);
        }
    }

    /** Takes a statement in; the result is whether it told anything new of another member. */
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
            news.add(self);
        }
    }

    private static EventFields describe(MemberStatement statement) {
        return EventFields.of(EventField.MEMBER, statement.nodeId())
                .with(EventField.STATE, statement.liveness())
                .with(EventField.INCARNATION, statement.incarnation());
    }
}
