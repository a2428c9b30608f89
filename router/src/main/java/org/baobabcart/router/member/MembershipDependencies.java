package org.baobabcart.router.member;

import java.util.concurrent.Executor;
import java.util.random.RandomGenerator;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.peer.PeerClient;
import org.baobabcart.router.timeline.RingTimeline;

/**
 * Dependencies of the membership. Immutable.
 *
 * @param settings the periods and limits
 * @param blackboard the control state
 * @param loop the executor of the control thread
 * @param timers the timer service
 * @param peers the client for calls to other routers
 * @param timeline the time line that records events, with the hybrid clock
 * @param random the source of randomness for choosing members
 */
public record MembershipDependencies(
        MembershipSettings settings,
        Blackboard blackboard,
        Executor loop,
        TimerService timers,
        PeerClient peers,
        RingTimeline timeline,
        RandomGenerator random) {}
