package org.baobabcart.router.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import org.baobabcart.model.gateway.RetryPolicy;
import org.baobabcart.model.gateway.Route;
import org.baobabcart.model.gateway.WeightedService;
import org.junit.jupiter.api.Test;

class AttemptTimeoutsTest {
    private static final Duration LEFT = Duration.ofSeconds(15);

    @Test
    void firstByteTimeoutIsThreeTimesTheTargetWhileResponsesStartInTime() {
        assertThat(
                AttemptTimeouts.of(route(RetryPolicy.STREAM_RESUMABLE), LEFT, 0.1)
                        .firstByte(),
                is(Duration.ofMillis(4_500)));
    }

    /** In a burst in which responses start at twice the target, a repeated attempt would only lose its place in the engine's queue. */
    @Test
    void firstByteTimeoutIsAboveTheCurrentLatencyInABurst() {
        Duration first =
                AttemptTimeouts.of(route(RetryPolicy.STREAM_RESUMABLE), LEFT, 2).firstByte();
        assertThat(first, greaterThan(Duration.ofSeconds(6)));
        assertThat(first, lessThanOrEqualTo(Duration.ofSeconds(10)));
    }

    @Test
    void nonRepeatableRequestWaitsUntilItsDeadline() {
        assertThat(AttemptTimeouts.of(route(RetryPolicy.ONCE), LEFT, 0).firstByte(), is(LEFT));
    }

    private static Route route(RetryPolicy repeat) {
        return new Route(
                "chat",
                "a.example",
                "/chat/",
                List.of(new WeightedService("model", 1)),
                repeat,
                LEFT,
                Duration.ofMillis(1_500),
                Duration.ofSeconds(1),
                3,
                0,
                false,
                true,
                List.of());
    }
}
