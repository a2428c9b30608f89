package org.baobabcart.router;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.baobabcart.router.admin.Addresses;
import org.baobabcart.router.admin.AdminApi;
import org.baobabcart.router.admin.AdminDependencies;
import org.baobabcart.router.admin.StatusReport;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Futures;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.peer.PeerHandlers;
import org.baobabcart.router.peer.PeerServer;
import org.baobabcart.router.peer.PeerSettings;
import org.baobabcart.router.settings.RouterSettings;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;

/**
 * Runs one router: created from settings, started once and stopped once. Thread-safe.
 *
 * <p>A planned stop makes the router report that it is not ready, announces its leaving to the peers, continues to
 * serve requests for the balancer delay, drains running requests and then stops the controllers, which finish or hand
 * over their open work.
 */
public final class RouterProcess {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration CONTROLLER_STOP_TIMEOUT = Duration.ofSeconds(20);
    /** By then all requests have ended, and the process ends whatever is still open. */
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(2);

    private final RouterCore core;
    private final TrafficPlane trafficPlane;
    private final PeerServer peerServer;
    private final AtomicBoolean stopRequested = new AtomicBoolean();
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private volatile AdminApi admin;
    private volatile Addresses addresses = new Addresses("", "", "");
    private volatile ControlPlane controlPlane;

    private RouterProcess(RouterSettings settings) {
        this.core = RouterCore.create(settings);
        this.trafficPlane = TrafficPlane.create(core);
        this.peerServer =
                PeerServer.create(core.vertx(), PeerSettings.defaults().withTransport(core.transport()));
    }

    /** Creates a router that does not listen yet. */
    public static RouterProcess create(RouterSettings settings) {
        return new RouterProcess(settings);
    }

    /** Opens the ports, starts all components and returns the bound ports. */
    public Uni<RouterPorts> start() {
        RouterSettings settings = core.settings();
        String host = settings.listenAddress();
        return peerServer
                .listen(host, settings.peerPort())
                .flatMap(peer -> trafficPlane
                        .listen(host, settings.callerPort())
                        .map(caller -> new RouterPorts(caller, 0, peer)))
                .flatMap(this::startControl);
    }

    /** Starts the planned stop unless it has been started; completes when the process may exit. */
    public Uni<Void> stop() {
        if (stopRequested.compareAndSet(false, true)) {
            core.loop().execute(this::beginStop);
        }
        return stopped();
    }

    /** Completes when a planned stop has completed. */
    public Uni<Void> stopped() {
        return Uni.createFrom().completionStage(stopped);
    }

    private Uni<RouterPorts> startControl(RouterPorts ports) {
        return Uni.createFrom()
                .item(this::createAdminApi)
                .runSubscriptionOn(core.loop())
                .flatMap(adminApi -> adminApi.listen(
                        core.settings().listenAddress(), core.settings().adminPort()))
                .map(adminPort -> new RouterPorts(ports.caller(), adminPort, ports.peer()))
                .emitOn(core.loop())
                .invoke(this::startControllers);
    }

    private AdminApi createAdminApi() {
        admin = AdminApi.create(new AdminDependencies(
                core.vertx(),
                core.settings().name(),
                core.blackboard(),
                core.loop(),
                core.timeline(),
                core.metrics(),
                () -> StatusReport.create(
                                core.blackboard(), core.timers(), controlPlane.sheets(), controlPlane.machines())
                        .toJson(addresses),
                this::stop,
                core.transport()));
        return admin;
    }

    private void startControllers(RouterPorts ports) {
        core.timeline()
                .record(
                        EventType.PROCESS_STARTED,
                        EventFields.of(EventField.NAME, core.settings().name()));
        addresses = addresses(ports);
        controlPlane = ControlPlane.create(core, self());
        peerServer.serve(new PeerHandlers(
                controlPlane.members(), controlPlane.documents(), trafficPlane.claims(), trafficPlane.bills()));
        core.views().start();
        controlPlane.controllers().forEach(Controller::start);
        trafficPlane.start();
    }

    private Member self() {
        RouterSettings settings = core.settings();
        return new Member(
                settings.name(),
                core.timers().wallClockMillis(),
                Member.State.ALIVE,
                settings.dataCentre(),
                addresses.peer(),
                addresses.admin());
    }

    private Addresses addresses(RouterPorts ports) {
        String host = core.settings().listenAddress();
        String advertised = core.settings().advertisedPeer();
        String peer = advertised.isEmpty() ? host + ":" + ports.peer() : advertised;
        return new Addresses(host + ":" + ports.caller(), host + ":" + ports.admin(), peer);
    }

    private void beginStop() {
        LOGGER.atInfo().log("event=stop_begun name=%s", core.settings().name());
        core.timeline().record(EventType.PROCESS_STOPPING, EventFields.none());
        core.blackboard().write(Sections.STOPPING, true);
        if (controlPlane != null) {
            controlPlane.members().leave();
        }
        core.timers().after("balancer-delay", core.settings().balancerDelay(), this::drain);
    }

    private void drain() {
        core.blackboard().write(Sections.DRAINING, true);
        trafficPlane
                .drain(core.settings().drainTimeout())
                .onFailure()
                .recoverWithNull()
                .emitOn(core.loop())
                .flatMap(ignored -> stopControllers())
                .flatMap(ignored -> close())
                .subscribe()
                .with(ignored -> completeStop(), failure -> completeStop());
    }

    /** Stops the controllers one after the other, in the reverse order of their start. */
    private Uni<Void> stopControllers() {
        List<Controller> controllers = new ArrayList<>();
        if (controlPlane != null) {
            controllers.addAll(controlPlane.controllers());
        }
        controllers.addAll(trafficPlane.controllers());
        Collections.reverse(controllers);
        Uni<Void> all = Uni.createFrom().voidItem();
        for (Controller controller : controllers) {
            all = all.emitOn(core.loop()).flatMap(ignored -> stopController(controller));
        }
        return all;
    }

    private Uni<Void> stopController(Controller controller) {
        return controller
                .stop()
                .ifNoItem()
                .after(CONTROLLER_STOP_TIMEOUT)
                .fail()
                .onFailure()
                .invoke(failure -> LOGGER.atSevere().withCause(failure).log(
                        "event=controller_stop_failed controller=%s",
                        controller.getClass().getSimpleName()))
                .onFailure()
                .recoverWithNull();
    }

    private Uni<Void> close() {
        core.timeline().record(EventType.PROCESS_STOPPED, EventFields.none());
        core.peers().close();
        return peerServer
                .close()
                .onFailure()
                .recoverWithNull()
                .flatMap(ignored -> admin.close())
                .onFailure()
                .recoverWithNull()
                .flatMap(ignored -> Futures.toUni(core.vertx()::close))
                .ifNoItem()
                .after(CLOSE_TIMEOUT)
                .fail()
                .onFailure()
                .invoke(failure -> LOGGER.atWarning().withCause(failure).log("event=close_incomplete"));
    }

    private void completeStop() {
        LOGGER.atInfo().log("event=stop_finished name=%s", core.settings().name());
        core.loop().close();
        stopped.complete(null);
    }
}
