package org.baobabcart.router.document;

import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.peer.PeerClient;
import org.baobabcart.router.platform.ObjectStore;
import org.baobabcart.router.timeline.Timeline;

/**
 * The parts that the spreading of documents works with. Immutable.
 *
 * @param settings times
 * @param blackboard control state
 * @param loop runs tasks on the control thread
 * @param timers time
 * @param store the platform
 * @param peers calls to other routers
 * @param timeline events
 * @param random randomness that spreads calls over time
 * @param gossipSoon called after a new document was applied, so that peers hear of it soon
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
