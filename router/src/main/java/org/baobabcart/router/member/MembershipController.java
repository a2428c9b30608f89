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
 * Maintains the membership of routers by the SWIM protocol (Das, Gupta and Motivala, 2002); see {@code
 * docs/design/membership.md}. Probes one member in each period, asks other members to probe one that did not respond,
 * suspects an unreachable member before declaring it dead, and piggybacks membership updates on each message.
 *
 * <p>All state is confined to the control thread; the methods of {@link MemberHandler} may be called on any thread.
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
    private long periodCount;
    private long lastFullSyncPeriod;
    private boolean gossipScheduled;

    private MembershipController(MembershipDependencies dependencies, Member self, List<String> fixedSeeds) {
        this.settings = dependencies.settings();
        this.blackboard = dependencies.blackboard();
        this.loop = dependencies.loop();
        this.timers = dependencies.timers();
        this.peers = dependencies.peers();
        this.timeline = dependencies.timeline();
        this.random = dependencies.random();
        this.members = KnownMembers.create(dependencies, MemberCodec.fromMember(self));
        this.seeds = SeedList.create(fixedSeeds);
        this.probeOrder = ProbeOrder.create(random);
    }

    /** Creates a membership of this node only, which joins other nodes through the seeds and the list of VMs. */
    public static MembershipController create(
            MembershipDependencies dependencies, Member self, List<String> fixedSeeds) {
        return new MembershipController(dependencies, self, fixedSeeds);
    }

    /** Registers a participant in exchanges. Must be called before the start. */
    public void addParticipant(ExchangeParticipant participant) {
        participants.add(participant);
    }

    @Override
    public void start() {
        members.publish();
        seeds.update(blackboard.read(Sections.VIRTUAL_MACHINES));
        blackboard.subscribe(Sections.VIRTUAL_MACHINES, seeds::update);
        subscriptions.add(timers.every("member-probe", settings.probePeriod(), this::runPeriod));
        seeds.allExcept(members.self().peerAddress()).forEach(this::contact);
    }

    @Override
    public Uni<Void> stop() {
        subscriptions.forEach(TimerService.Subscription::cancel);
        return Uni.createFrom().voidItem();
    }

    /** Announces to other members that this node has begun a planned stop. */
    public void leave() {
        members.leave();
        gossipSoon();
    }

    /** Schedules an exchange with a few random members, to distribute new data without waiting for the next period. */
    public void gossipSoon() {
        if (!gossipScheduled) {
            gossipScheduled = true;
            loop.execute(this::gossipNow);
        }
    }

    @Override
    public Uni<Exchange> exchange(Exchange request) {
        return Uni.createFrom().item(() -> handleExchange(request)).runSubscriptionOn(loop);
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
                .invoke(reply -> receive(reply, request.getPeerAddress()))
                .map(reply -> new ProbeReply(true))
                .onFailure()
                .recoverWithItem(() -> new ProbeReply(false));
    }

    private void runPeriod() {
        periodCount++;
        members.expireSuspects();
        members.removeExpiredDead();
        probeOrder.next(members.reachable()).ifPresent(this::probeDirectly);
        boolean alone = members.reachable().isEmpty();
        if (alone || periodCount % settings.seedPeriods() == 0) {
            contactSeed();
        }
    }

    private void contactSeed() {
        List<String> known =
                members.reachable().stream().map(MemberStatement::peerAddress).toList();
        List<String> unknown = seeds.allExcept(members.self().peerAddress()).stream()
                .filter(address -> !known.contains(address))
                .toList();
        if (!unknown.isEmpty()) {
            contact(unknown.get(random.nextInt(unknown.size())));
        }
    }

    private void contact(String address) {
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
                .invoke(reply -> receive(reply, address));
    }

    private void probeIndirectly(MemberStatement target) {
        List<Uni<ProbeReply>> probes = shuffled(members.reachable()).stream()
                .filter(helper -> !helper.nodeId().equals(target.nodeId()))
                .limit(settings.indirectProbes())
                .map(helper -> requestProbe(helper, target))
                .toList();
        if (probes.isEmpty()) {
            members.markUnreachable(target);
            return;
        }
        Uni.join()
                .all(probes)
                .andCollectFailures()
                .emitOn(loop)
                .subscribe()
                .with(replies -> onIndirectProbes(target, replies), ignored -> members.markUnreachable(target));
    }

    private Uni<ProbeReply> requestProbe(MemberStatement helper, MemberStatement target) {
        long timeoutMillis = settings.probeTimeout().toMillis();
        ProbeRequest request = new ProbeRequest(target.nodeId(), target.peerAddress(), timeoutMillis);
        return peers.probe(
                        helper.peerAddress(), request, settings.probeTimeout().multipliedBy(2))
                .onFailure()
                .recoverWithItem(() -> new ProbeReply(false));
    }

    private void onIndirectProbes(MemberStatement target, List<ProbeReply> replies) {
        if (replies.stream().noneMatch(ProbeReply::isReached)) {
            members.markUnreachable(target);
        }
    }

    private Exchange handleExchange(Exchange request) {
        MemberStatement sender = MemberCodec.fromWire(request.getSender());
        boolean joining = !members.isReachable(sender.nodeId());
        receive(request, sender.peerAddress());
        boolean fullList = joining || shouldSendFullList(request);
        int limit = fullList ? settings.maxUpdatesForJoiner() : settings.maxUpdatesPerMessage();
        return outgoing(Optional.of(sender.nodeId()), limit);
    }

    /**
     * Returns whether the full list should be sent to the sender: neither side has queued updates and yet their digests
     * differ. True at most once in {@link MembershipSettings#fullSyncPeriods} periods.
     */
    private boolean shouldSendFullList(Exchange request) {
        boolean bothQueuesEmpty = request.isSetMembersDigest() && !members.hasQueuedUpdates();
        boolean due = periodCount - lastFullSyncPeriod >= settings.fullSyncPeriods();
        if (!bothQueuesEmpty || !due || request.getMembersDigest() == members.digest()) {
            return false;
        }
        lastFullSyncPeriod = periodCount;
        return true;
    }

    private void receive(Exchange incoming, String peerAddress) {
        timeline.receive(incoming.getClock());
        members.receive(incoming);
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
        if (!members.hasQueuedUpdates()) {
            exchange.setMembersDigest(members.digest());
        }
        participants.forEach(participant -> participant.contribute(exchange));
        return exchange;
    }
}
