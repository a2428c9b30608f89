package org.baobabcart.router;

import io.smallrye.mutiny.Uni;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import org.baobabcart.router.bill.BillSettings;
import org.baobabcart.router.bill.PeerBillService;
import org.baobabcart.router.claim.ClaimSettings;
import org.baobabcart.router.claim.PartitionClaimService;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.key.SessionSignerProvider;
import org.baobabcart.router.peer.BillHandler;
import org.baobabcart.router.peer.ClaimHandler;
import org.baobabcart.router.settings.RouterSettings;
import org.baobabcart.router.traffic.CallerApi;
import org.baobabcart.router.traffic.HttpRatingClient;
import org.baobabcart.router.traffic.RatingClient;
import org.baobabcart.router.traffic.TrafficDependencies;
import org.baobabcart.router.traffic.TrafficSettings;

/** Creates and holds the components that serve callers: the caller API and the claim and bill services. Thread-safe. */
final class TrafficPlane {
    private static final Duration RATING_TIMEOUT = Duration.ofSeconds(1);

    private final RouterCore core;
    private final SessionSignerProvider signers = SessionSignerProvider.create();
    private final PartitionClaimService claims;
    private final PeerBillService bills;
    private final CallerApi callerApi;

    private TrafficPlane(RouterCore core) {
        this.core = core;
        this.claims = PartitionClaimService.create(
                core.blackboard(),
                core.timers(),
                core.store(),
                core.peers(),
                core.timeline(),
                core.metrics(),
                ClaimSettings.defaults());
        this.bills = PeerBillService.create(
                core.blackboard(),
                core.timers(),
                core.store(),
                core.peers(),
                core.timeline(),
                core.metrics(),
                BillSettings.defaults());
        this.callerApi = CallerApi.create(core.vertx(), trafficDependencies(core), trafficSettings(core));
    }

    static TrafficPlane create(RouterCore core) {
        return new TrafficPlane(core);
    }

    Uni<Integer> listen(String host, int port) {
        return callerApi.listen(host, port);
    }

    Uni<Void> drain(Duration timeout) {
        return callerApi.drain(timeout);
    }

    /** Starts the session signers and the controllers; must be called on the control thread. */
    void start() {
        signers.subscribe(core.blackboard(), core.timers());
        controllers().forEach(Controller::start);
    }

    List<Controller> controllers() {
        return List.of(claims, bills);
    }

    ClaimHandler claims() {
        return claims;
    }

    BillHandler bills() {
        return bills;
    }

    private TrafficDependencies trafficDependencies(RouterCore core) {
        return new TrafficDependencies(
                core.views(),
                claims,
                bills,
                core.feedback(),
                core.crashes(),
                core.timeline(),
                core.metrics(),
                ratings(core),
                signers);
    }

    private static TrafficSettings trafficSettings(RouterCore core) {
        RouterSettings settings = core.settings();
        return TrafficSettings.defaults()
                .withNode(settings.name(), settings.dataCentre())
                .withTransport(core.transport());
    }

    private static RatingClient ratings(RouterCore core) {
        return core.settings()
                .ratings()
                .map(URI::toString)
                .<RatingClient>map(url -> HttpRatingClient.create(core.vertx(), url, RATING_TIMEOUT, core.transport()))
                .orElse(request -> Uni.createFrom().item(OptionalDouble.empty()));
    }
}
