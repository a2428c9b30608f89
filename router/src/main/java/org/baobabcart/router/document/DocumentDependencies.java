package org.baobabcart.router.document;

import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.peer.PeerClient;
import org.baobabcart.router.platform.ObjectStore;
import org.baobabcart.router.timeline.Timeline;

/**
 * Dependencies of the controllers that replicate documents. Immutable.
 *
 * @param settings counts and durations
 * @param blackboard the control state
 * @param loop the executor of the control thread
 * @param timers the timer service
 * @param store the platform's object store
 * @param peers the client for calls to other routers
 * @param timeline the time line that records events
 * @param random the source of jitter
 * @param gossipSoon called after a new document was applied, so that peers learn of it without waiting for the next
 *     periodic exchange
 */
public record DocumentDependencies(
        DocumentSettings settings,
        Blackboard blackboard,
        Executor loop,
        TimerService timers,
        ObjectStore store,
        PeerClient peers,
        Timeline timeline,
        RandomGenerator random,
        Runnable gossipSoon) {}
