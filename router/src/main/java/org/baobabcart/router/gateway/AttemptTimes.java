package org.baobabcart.router.gateway;

import java.time.Duration;
import org.baobabcart.model.gateway.RepeatRule;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.router.upstream.UpstreamRequest;

/** How long an attempt may make no progress before another is made. Stateless. */
final class AttemptTimes {
    /** An answer that is this many times later than asked for is taken as lost where it may be asked for again. */
    private static final int LOST_AFTER_TARGETS = 3;

    /** A stream that pauses this many times longer than asked for is taken as broken. */
    private static final int BROKEN_AFTER_PAUSES = 2;

    /** Leaves another attempt a third of the time that there is. */
    private static final double PART_OF_TIME_LEFT = 2.0 / 3;

    private AttemptTimes() {}

    static UpstreamRequest.Progress of(Route route, Duration timeLeft) {
        RepeatRule repeat = route.repeat();
        if (!repeat.repeatable()) {
            return new UpstreamRequest.Progress(timeLeft, timeLeft);
        }
        Duration share = Duration.ofNanos((long) (timeLeft.toNanos() * PART_OF_TIME_LEFT));
        Duration first = least(route.target().multipliedBy(LOST_AFTER_TARGETS), share);
        Duration pause = route.pauseTarget().isZero()
                ? first
                : least(route.pauseTarget().multipliedBy(BROKEN_AFTER_PAUSES), timeLeft);
        return new UpstreamRequest.Progress(first, pause);
    }

    private static Duration least(Duration first, Duration second) {
        return first.compareTo(second) <= 0 ? first : second;
    }
}
