package org.baobabcart.model.gateway;

import java.time.Duration;

/**
 * What upstreams of a service bear after their start. Immutable.
 *
 * @param duration how long an upstream stays cold after its start
 * @param requestsPerSecond the requests a second that a cold upstream bears from all routers together
 */
public record WarmUp(Duration duration, double requestsPerSecond) {}
