package org.baobabcart.router;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Vertx;
import java.util.random.RandomGenerator;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.ControlLoop;
import org.baobabcart.router.control.SystemTimerService;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.crash.CrashLedger;
import org.baobabcart.router.peer.PeerSettings;
import org.baobabcart.router.peer.ThriftPeerClient;
import org.baobabcart.router.platform.HttpObjectStore;
import org.baobabcart.router.platform.MonitoredObjectStore;
import org.baobabcart.router.platform.ObjectStore;
import org.baobabcart.router.platform.PlatformSettings;
import org.baobabcart.router.settings.RouterSettings;
import org.baobabcart.router.timeline.RingTimeline;
import org.baobabcart.router.transport.Transport;
import org.baobabcart.router.view.FeedbackQueue;
import org.baobabcart.router.view.ViewPublisher;

/**
 * Holds the components that the whole router shares. Immutable; see each component for its thread safety.
 *
 * @param settings the router's settings
 * @param transport TLS and source address of connections
 * @param vertx provides the event loops
 * @param loop runs tasks on the control thread
 * @param timers clock and timers
 * @param blackboard holds the control state
 * @param timeline records events
 * @param metrics metrics of the process
 * @param store the platform's object API; the outcome of its calls updates the platform's health
 * @param peers calls other routers
 * @param views publishes control state to the traffic threads
 * @param feedback passes observations of the traffic threads to the control thread
 * @param crashes the crashes of upstreams that are known
 * @param random random numbers that need not be unpredictable; confined to the control thread
 */
record RouterCore(
        RouterSettings settings,
        Transport transport,
        Vertx vertx,
        ControlLoop loop,
        TimerService timers,
        Blackboard blackboard,
        RingTimeline timeline,
        MetricRegistry metrics,
        ObjectStore store,
        ThriftPeerClient peers,
        ViewPublisher views,
        FeedbackQueue feedback,
        CrashLedger crashes,
        RandomGenerator random) {
    static RouterCore create(RouterSettings settings) {
        Transport transport = Transport.of(settings.security()).withOutgoingAddress(settings.outgoingAddress());
        Vertx vertx = Vertx.vertx();
        ControlLoop loop = ControlLoop.create("control");
        TimerService timers = SystemTimerService.on(loop);
        Blackboard blackboard = Blackboard.create();
        RingTimeline timeline = RingTimeline.create(settings.name(), timers, RingTimeline.DEFAULT_CAPACITY);
        MetricRegistry metrics = new MetricRegistry();
        ObjectStore store = HttpObjectStore.create(
                vertx, settings.platform(), PlatformSettings.defaults().withTransport(transport));
        return new RouterCore(
                settings,
                transport,
                vertx,
                loop,
                timers,
                blackboard,
                timeline,
                metrics,
                MonitoredObjectStore.of(store, blackboard, loop, timeline, metrics),
                ThriftPeerClient.create(vertx, PeerSettings.defaults().withTransport(transport)),
                ViewPublisher.create(blackboard),
                FeedbackQueue.create(loop, metrics),
                CrashLedger.create(settings.name(), timers.wallClockMillis(), timers::nanoTime, timeline),
                RandomGenerator.getDefault());
    }
}
