package org.baobabcart.router.rollout;

import java.util.concurrent.Executor;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.platform.ObjectStore;
import org.baobabcart.router.timeline.Timeline;

/**
 * Dependencies of the roll-out controller. Immutable.
 *
 * @param settings the settings
 * @param blackboard the blackboard
 * @param loop executes tasks on the control thread
 * @param timers the timer service
 * @param store the platform's object store
 * @param timeline the time line
 */
public record RollOutDependencies(
        RollOutControlSettings settings,
        Blackboard blackboard,
        Executor loop,
        TimerService timers,
        ObjectStore store,
        Timeline timeline) {}
