package org.baobabcart.router.gateway;

import java.time.Duration;
import org.baobabcart.model.gateway.RepeatRule;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.router.upstream.UpstreamRequest;

/** How long an attempt may make no progress before another is made. Stateless. */
final class AttemptTimeouts {
    /** An answer that is this many times later than asked for is taken as lost where it may be asked for again. */
    private static final int LOST_AFTER_TARGETS = 3;

    /** While answers begin late, an attempt may be so many times later than they usually are. */
    private static final int LOST_AFTER_USUAL_DELAYS = 4;

    /** A stream that pauses this many times longer than asked for is taken as broken. */
    private static final int BROKEN_AFTER_PAUSES = 2;

    /** Leaves another attempt a third of the time that there is. */
    private static final double PART_OF_TIME_LEFT = 2.0 / 3;

    private AttemptTimeouts() {}

    /**
     * The times of an attempt.
     *
     * @param pressure the time in which answers of the route begin now, over the time in which they should; under load an attempt
     *     that is sent again only waits anew, behind the work that it left
     */
    static UpstreamRequest.ProgressTimeouts of(Route route, Duration timeLeft, double pressure) {
        RepeatRule repeat = route.repeat();
        if (!repeat.repeatable()) {
            return new UpstreamRequest.ProgressTimeouts(timeLeft, timeLeft);
        }
        Duration share = Duration.ofNanos((long) (timeLeft.toNanos() * PART_OF_TIME_LEFT));
        double targets = Math.max(LOST_AFTER_TARGETS, LOST_AFTER_USUAL_DELAYS * pressure);
        Duration first = least(Duration.ofNanos((long) (route.target().toNanos() * targets)), share);
        Duration pause = route.pauseTarget().isZero()
                ? first
                : least(route.pauseTarget().multipliedBy(BROKEN_AFTER_PAUSES), timeLeft);
        return new UpstreamRequest.ProgressTimeouts(first, pause);
    }

    private static Duration least(Duration first, Duration second) {
        return first.compareTo(second) <= 0 ? first : second;
    }
}
