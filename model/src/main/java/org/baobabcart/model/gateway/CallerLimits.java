package org.baobabcart.model.gateway;

import java.time.Duration;

/**
 * What a caller may send and how long it may take. Immutable.
 *
 * @param maxHeaderBytes the most bytes of a request's head
 * @param maxBodyBytes the most bytes of a request's body
 * @param headerTimeout the longest time for a request's head and body to arrive
 * @param idleTimeout the time after which a connection without a request is closed
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {}
