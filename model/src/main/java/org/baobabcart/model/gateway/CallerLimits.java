package org.baobabcart.model.gateway;

import java.time.Duration;

/**
 * Size and time limits of callers' requests and connections. Immutable.
 *
 * @param maxHeaderBytes the maximum size of a request's headers, in bytes
 * @param maxBodyBytes the maximum size of a request's body, in bytes
 * @param headerTimeout the time within which a request's headers and body must arrive
 * @param idleTimeout the time after which an idle connection is closed
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, Duration headerTimeout, Duration idleTimeout) {}
