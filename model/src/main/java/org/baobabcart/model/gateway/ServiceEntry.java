package org.baobabcart.model.gateway;

import java.util.Optional;

/**
 * A service as a configuration lists it. Immutable.
 *
 * @param name the service's name
 * @param healthPath the path of its health check, or an empty string
 * @param warmUp what its cold upstreams bear; empty if they are never cold
 * @param isWarmUpIncomplete whether only one of the two values of a warm-up is given, so that none is in force
 */
public record ServiceEntry(String name, String healthPath, Optional<WarmUp> warmUp, boolean isWarmUpIncomplete) {}
