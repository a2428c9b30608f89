package org.baobabcart.router.member;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.baobabcart.policy.member.MemberStatement;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.peer.MemberHandler;
import org.baobabcart.router.peer.PeerClient;
import org.baobabcart.router.timeline.RingTimeline;
import org.baobabcart.wire.Exchange;
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

    private final MembershipSettings settings;
    private final Blackboard blackboard;
    private final KnownMembers members;
    private final Executor loop;
    private final TimerService timers;
    private final PeerClient peers;
    private final RingTimeline timeline;
    private final RandomGenerator random;
    private final SeedList seeds;
    private final ProbeOrder probeOrder;
    private final List<ExchangeParticipant> participants = new ArrayList<>();
    private final List<TimerService.Subscription> subscriptions = new ArrayList<>();
    private long periods;
    private long lastFullSyncPeriod;
    private boolean gossipScheduled;

    private MembershipController(MembershipDependencies parts, Member self, List<String> fixedSeeds) {
        this.settings = parts.settings();
        this.blackboard = parts.blackboard();
        this.loop = parts.loop();
        this.timers = parts.timers();
        this.peers = parts.peers();
        this.timeline = parts.timeline();
        this.random = parts.random();
        this.members = KnownMembers.create(parts, MemberCodec.fromMember(self));
        this.seeds = SeedList.create(fixedSeeds);
        this.probeOrder = ProbeOrder.create(random);
    }

    /** A membership of this node alone, which joins others through the seeds and the list of VMs. */
    public static MembershipController create(MembershipDependencies parts, Member self, List<String> fixedSeeds) {
        return new MembershipController(parts, self, fixedSeeds);
    }

    /** Adds a part that takes part in exchanges; called before the start. */
    public void addParticipant(ExchangeParticipant participant) {
        participants.add(participant);
    }

    @Override
    public void start() {
        members.publish();
        seeds.update(blackboard.read(Sections.VIRTUAL_MACHINES));
        blackboard.subscribe(Sections.VIRTUAL_MACHINES, seeds::update);
        subscriptions.add(timers.every("member-probe", settings.probePeriod(), this::runPeriod));
        seeds.allExcept(members.self().peerAddress()).forEach(this::join);
    }

    @Override
    public Uni<Void> stop() {
        subscriptions.forEach(TimerService.Subscription::cancel);
        return Uni.createFrom().voidItem();
    }

    /** Tells others that this node has begun a planned stop. */
    public void leave() {
        members.leave();
        gossipSoon();
    }

    /** Exchanges with a few members soon, since there is something new. */
    public void gossipSoon() {
        if (!gossipScheduled) {
            gossipScheduled = true;
            loop.execute(this::gossipNow);
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
                .item(() -> outgoing(Optional.of(request.getNodeId()), settings.maxUpdatesPerMessage()))
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
        members.expireSuspects();
        members.forgetDead();
        probeOrder.next(members.reachable()).ifPresent(this::probeDirectly);
        boolean alone = members.reachable().isEmpty();
        if (alone || periods % settings.seedPeriods() == 0) {
            trySeed();
        }
    }

    private void trySeed() {
        List<String> known =
                members.reachable().stream().map(MemberStatement::peerAddress).toList();
        List<String> unknown = seeds.allExcept(members.self().peerAddress()).stream()
                .filter(address -> !known.contains(address))
                .toList();
        if (!unknown.isEmpty()) {
            join(unknown.get(random.nextInt(unknown.size())));
        }
    }

    private void join(String address) {
        send(address, members.nodeAt(address)).subscribe().with(ignored -> {}, ignored -> {});
    }

    private void gossipNow() {
        gossipScheduled = false;
        shuffled(members.reachable()).stream()
                .limit(settings.fanOut())
                .forEach(target -> send(target.peerAddress(), Optional.of(target.nodeId()))
                        .subscribe()
                        .with(ignored -> {}, ignored -> {}));
    }

    private List<MemberStatement> shuffled(List<MemberStatement> statements) {
        List<MemberStatement> shuffled = new ArrayList<>(statements);
        Collections.shuffle(shuffled, new Random(random.nextLong()));
        return shuffled;
    }

    private void probeDirectly(MemberStatement target) {
        send(target.peerAddress(), Optional.of(target.nodeId()))
                .subscribe()
                .with(ignored -> {}, ignored -> probeIndirectly(target));
    }

    private Uni<Exchange> send(String address, Optional<String> nodeId) {
        Exchange outgoing = outgoing(nodeId, settings.maxUpdatesPerMessage());
        return peers.exchange(address, outgoing, settings.probeTimeout())
                .emitOn(loop)
                .invoke(reply -> take(reply, address));
    }

    private void probeIndirectly(MemberStatement target) {
        List<Uni<ProbeReply>> probes = shuffled(members.reachable()).stream()
                .filter(helper -> !helper.nodeId().equals(target.nodeId()))
                .limit(settings.indirectProbes())
                .map(helper -> askToProbe(helper, target))
                .toList();
        if (probes.isEmpty()) {
            members.missed(target);
            return;
        }
        Uni.join()
                .all(probes)
                .andCollectFailures()
                .emitOn(loop)
                .subscribe()
                .with(replies -> decide(target, replies), ignored -> members.missed(target));
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
            members.missed(target);
        }
    }

    private Exchange answer(Exchange request) {
        MemberStatement sender = MemberCodec.fromWire(request.getSender());
        boolean joining = !members.isReachable(sender.nodeId());
        take(request, sender.peerAddress());
        boolean wholeList = joining || mayDiffer(request);
        int limit = wholeList ? settings.maxUpdatesForJoiner() : settings.maxUpdatesPerMessage();
        return outgoing(Optional.of(sender.nodeId()), limit);
    }

    /** Whether both sides have no news and yet know different members; told at most once in a number of periods. */
    private boolean mayDiffer(Exchange request) {
        boolean quiet = request.isSetMembersDigest() && !members.hasNews();
        boolean due = periods - lastFullSyncPeriod >= settings.fullSyncPeriods();
        if (!quiet || !due || request.getMembersDigest() == members.digest()) {
            return false;
        }
        lastFullSyncPeriod = periods;
        return true;
    }

    private void take(Exchange incoming, String peerAddress) {
        timeline.receive(incoming.getClock());
        members.take(incoming);
        participants.forEach(participant -> participant.received(incoming, peerAddress));
    }

    private Exchange outgoing(Optional<String> target, int limit) {
        Exchange exchange = new Exchange(
                MemberCodec.toWire(members.self()),
                members.updates(target, limit),
                new ArrayList<>(),
                new ArrayList<>(),
                new ArrayList<>(),
                timeline.send());
        if (!members.hasNews()) {
            exchange.setMembersDigest(members.digest());
        }
        participants.forEach(participant -> participant.contribute(exchange));
        return exchange;
    }
}
