package org.baobabcart.router.member;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.baobabcart.policy.member.GossipQueue;
import org.baobabcart.policy.member.Liveness;
import org.baobabcart.policy.member.MemberStatement;
import org.baobabcart.policy.member.MembershipTable;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.peer.MemberHandler;
import org.baobabcart.router.peer.PeerClient;
import org.baobabcart.router.timeline.EventType;
import org.baobabcart.router.timeline.RingTimeline;
import org.baobabcart.wire.Exchange;
import org.baobabcart.wire.MemberUpdate;
import org.baobabcart.wire.ProbeReply;
import org.baobabcart.wire.ProbeRequest;

/**
 * Keeps the list of routers: probes one member a period, asks others to probe one that did not answer, suspects it
 * before it is taken for dead, and passes on news with each message.
 *
 * <p>The method is SWIM (Das, Gupta and Motivala, 2002); see {@code docs/design/membership.md}. All state is confined to
 * the control thread; the methods of {@link MemberHandler} may be called on any thread.
 */
public final class MembershipController implements Controller, MemberHandler {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** A message carries more news when more than this many messages' worth is waiting, as after a power cut. */
    private static final int BURST_SHARE = 4;

    private static final int UPDATES_BESIDES_NEWS = 2;

    private final MembershipSettings settings;
    private final Blackboard blackboard;
    private final Executor loop;
    private final TimerService timers;
    private final PeerClient peers;
    private final RingTimeline timeline;
    private final RandomGenerator random;
    private final SeedList seeds;
    private final GossipQueue news = GossipQueue.create();
    private final ProbeOrder probeOrder;
    private final Map<String, Long> changedAtNanos = new HashMap<>();
    private final List<ExchangeParticipant> participants = new ArrayList<>();
    private final List<TimerService.Subscription> subscriptions = new ArrayList<>();
    private MembershipTable table = MembershipTable.empty();
    private MemberStatement self;
    private MembershipTable publishedTable;
    private MemberStatement publishedSelf;
    private long periods;
    private long lastDifferencePeriod;
    private boolean spreading;

    private MembershipController(MembershipParts parts, Member self, List<String> fixedSeeds) {
        this.settings = parts.settings();
        this.blackboard = parts.blackboard();
        this.loop = parts.loop();
        this.timers = parts.timers();
        this.peers = parts.peers();
        this.timeline = parts.timeline();
        this.random = parts.random();
        this.self = MemberCodec.fromMember(self);
        this.seeds = SeedList.create(fixedSeeds);
        this.probeOrder = ProbeOrder.create(random);
    }

    /** A membership of this node alone, which joins others through the seeds and the list of VMs. */
    public static MembershipController create(MembershipParts parts, Member self, List<String> fixedSeeds) {
        return new MembershipController(parts, self, fixedSeeds);
    }

    /** Adds a part that takes part in exchanges; called before the start. */
    public void addParticipant(ExchangeParticipant participant) {
        participants.add(participant);
    }

    @Override
    public void start() {
        publish();
        seeds.update(blackboard.read(Sections.VIRTUAL_MACHINES));
        blackboard.subscribe(Sections.VIRTUAL_MACHINES, seeds::update);
        subscriptions.add(timers.every("member-probe", settings.probePeriod(), this::runPeriod));
        seeds.allExcept(self.peerAddress()).forEach(this::join);
    }

    @Override
    public Uni<Void> stop() {
        subscriptions.forEach(TimerService.Subscription::cancel);
        return Uni.createFrom().voidItem();
    }

    /** Tells others that this node has begun a planned stop. */
    public void leave() {
        self = self.withLiveness(Liveness.LEAVING);
        news.add(self);
        publish();
        spread();
    }

    /** Exchanges with a few members soon, since there is something new. */
    public void spread() {
        if (!spreading) {
            spreading = true;
            loop.execute(this::spreadNow);
        }
    }

    @Override
    public Uni<Exchange> exchange(Exchange request) {
        return Uni.createFrom().item(() -> answer(request)).runSubscriptionOn(loop);
    }

    @Override
    public Uni<ProbeReply> probe(ProbeRequest request) {
        Duration timeout = Duration.ofMillis(
                Math.min(request.getTimeoutMillis(), settings.probeTimeout().toMillis()));
        return Uni.createFrom()
                .item(() -> outgoing(Optional.of(request.getNodeId()), settings.updatesPerMessage()))
                .runSubscriptionOn(loop)
                .flatMap(exchange -> peers.exchange(request.getPeerAddress(), exchange, timeout))
                .emitOn(loop)
                .invoke(reply -> take(reply, request.getPeerAddress()))
                .map(reply -> new ProbeReply(true))
                .onFailure()
                .recoverWithItem(() -> new ProbeReply(false));
    }

    private void runPeriod() {
        periods++;
        expireSuspects();
        forgetDead();
        probeOrder.next(reachable()).ifPresent(this::probeDirectly);
        boolean alone = reachable().isEmpty();
        if (alone || periods % settings.seedPeriods() == 0) {
            trySeed();
        }
    }

    private void trySeed() {
        List<String> known =
                reachable().stream().map(MemberStatement::peerAddress).toList();
        List<String> unknown = seeds.allExcept(self.peerAddress()).stream()
                .filter(address -> !known.contains(address))
                .toList();
        if (!unknown.isEmpty()) {
            join(unknown.get(random.nextInt(unknown.size())));
        }
    }

    private void join(String address) {
        Optional<String> nodeId = table.statements().stream()
                .filter(statement -> statement.peerAddress().equals(address))
                .map(MemberStatement::nodeId)
                .findFirst();
        send(address, nodeId).subscribe().with(ignored -> {}, ignored -> {});
    }

    private void spreadNow() {
        spreading = false;
        List<MemberStatement> targets = new ArrayList<>(reachable());
        java.util.Collections.shuffle(targets, new java.util.Random(random.nextLong()));
        targets.stream()
                .limit(settings.fanOut())
                .forEach(target -> send(target.peerAddress(), Optional.of(target.nodeId()))
                        .subscribe()
                        .with(ignored -> {}, ignored -> {}));
    }

    private void probeDirectly(MemberStatement target) {
        send(target.peerAddress(), Optional.of(target.nodeId()))
                .subscribe()
                .with(ignored -> {}, ignored -> probeIndirectly(target));
    }

    private Uni<Exchange> send(String address, Optional<String> nodeId) {
        Exchange outgoing = outgoing(nodeId, settings.updatesPerMessage());
        return peers.exchange(address, outgoing, settings.probeTimeout())
                .emitOn(loop)
                .invoke(reply -> take(reply, address));
    }

    private void probeIndirectly(MemberStatement target) {
        List<MemberStatement> helpers = new ArrayList<>(reachable());
        helpers.removeIf(helper -> helper.nodeId().equals(target.nodeId()));
        java.util.Collections.shuffle(helpers, new java.util.Random(random.nextLong()));
        List<Uni<ProbeReply>> probes = helpers.stream()
                .limit(settings.indirectProbes())
                .map(helper -> askToProbe(helper, target))
                .toList();
        if (probes.isEmpty()) {
            missed(target);
            return;
        }
        Uni.join()
                .all(probes)
                .andCollectFailures()
                .emitOn(loop)
                .subscribe()
                .with(replies -> decide(target, replies), ignored -> missed(target));
    }

    private Uni<ProbeReply> askToProbe(MemberStatement helper, MemberStatement target) {
        long timeoutMillis = settings.probeTimeout().toMillis();
        ProbeRequest request = new ProbeRequest(target.nodeId(), target.peerAddress(), timeoutMillis);
        return peers.probe(
                        helper.peerAddress(), request, settings.probeTimeout().multipliedBy(2))
                .onFailure()
                .recoverWithItem(() -> new ProbeReply(false));
    }

    private void decide(MemberStatement target, List<ProbeReply> replies) {
        if (replies.stream().noneMatch(ProbeReply::isReached)) {
            missed(target);
        }
    }

    private void missed(MemberStatement target) {
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

    private void expireSuspects() {
        long timeout = settings.suspicion(table.statements().size() + 1).toNanos();
        for (MemberStatement statement : List.copyOf(table.statements())) {
            if (statement.liveness() == Liveness.SUSPECT && unchangedFor(statement, timeout)) {
                learn(statement.withLiveness(Liveness.DEAD));
            }
        }
        publish();
    }

    private void forgetDead() {
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

    private Exchange answer(Exchange request) {
        MemberStatement sender = MemberCodec.fromWire(request.getSender());
        boolean joining = table.of(sender.nodeId())
                .filter(known -> known.liveness() != Liveness.DEAD)
                .isEmpty();
        take(request, sender.peerAddress());
        boolean wholeList = joining || mayDiffer(request);
        int limit = wholeList ? settings.updatesForJoiner() : settings.updatesPerMessage();
        return outgoing(Optional.of(sender.nodeId()), limit);
    }

    /** Whether both sides have no news and yet know different members; told at most once in a number of periods. */
    private boolean mayDiffer(Exchange request) {
        boolean quiet = request.isSetMembersDigest() && news.size() == 0;
        boolean due = periods - lastDifferencePeriod >= settings.differencePeriods();
        if (!quiet || !due || request.getMembersDigest() == digest()) {
            return false;
        }
        lastDifferencePeriod = periods;
        return true;
    }

    private long digest() {
        return table.digest() + self.digest();
    }

    private void take(Exchange incoming, String peerAddress) {
        timeline.receive(incoming.getClock());
        learn(MemberCodec.fromWire(incoming.getSender()));
        boolean wholeList = incoming.getUpdatesSize() > settings.updatesInBurst() + UPDATES_BESIDES_NEWS;
        for (MemberUpdate update : incoming.getUpdates()) {
            MemberStatement statement = MemberCodec.fromWire(update);
            boolean changed = merge(statement);
            if (changed && !wholeList) {
                news.add(statement);
            }
        }
        publish();
        participants.forEach(participant -> participant.received(incoming, peerAddress));
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
        timeline.record(EventType.MEMBER_CHANGED, describe(statement));
        LOGGER.atInfo().log("event=member_changed %s", describe(statement));
        return true;
    }

    private void refute(MemberStatement statement) {
        if (self.mustRefute(statement)) {
            self = self.refuting(statement);
            news.add(self);
        }
    }

    private Exchange outgoing(Optional<String> target, int limit) {
        Exchange exchange = new Exchange(
                MemberCodec.toWire(self),
                updates(target, limit),
                new ArrayList<>(),
                new ArrayList<>(),
                new ArrayList<>(),
                timeline.send());
        if (news.size() == 0) {
            exchange.setMembersDigest(digest());
        }
        participants.forEach(participant -> participant.contribute(exchange));
        return exchange;
    }

    private List<MemberUpdate> updates(Optional<String> target, int limit) {
        List<MemberStatement> statements =
                new ArrayList<>(news.take(limit, table.statements().size() + 1));
        target.flatMap(table::of)
                .filter(statement -> statement.liveness() != Liveness.ALIVE)
                .ifPresent(statements::add);
        if (limit >= settings.updatesForJoiner()) {
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

    private List<MemberStatement> reachable() {
        return table.statements().stream()
                .filter(statement -> statement.liveness() != Liveness.DEAD)
                .filter(statement -> !statement.peerAddress().isEmpty())
                .toList();
    }

    /** Tables are immutable, so that an unchanged one is the same instance. */
    private void publish() {
        if (table == publishedTable && self.equals(publishedSelf)) {
            return;
        }
        publishedTable = table;
        publishedSelf = self;
        List<Member> others =
                table.statements().stream().map(MemberCodec::toMember).toList();
        blackboard.write(Sections.MEMBERS, new Members(MemberCodec.toMember(self), others));
    }

    private static String describe(MemberStatement statement) {
        return "member=" + statement.nodeId() + " state=" + statement.liveness() + " incarnation="
                + statement.incarnation();
    }
}
