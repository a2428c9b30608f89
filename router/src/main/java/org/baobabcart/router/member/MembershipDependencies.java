package org.baobabcart.router.member;

import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.peer.PeerClient;
import org.baobabcart.router.timeline.RingTimeline;

/**
 * The parts that the membership works with. Immutable.
 *
 * @param settings times and bounds
 * @param blackboard control state
 * @param loop runs tasks on the control thread
 * @param timers time
 * @param peers calls to other routers
 * @param timeline events and the hybrid clock
 * @param random randomness for the choice of members
 */
public record MembershipDependencies(
        MembershipSettings settings,
        Blackboard blackboard,
        Executor loop,
        TimerService timers,
        PeerClient peers,
        RingTimeline timeline,
        RandomGenerator random) {}
