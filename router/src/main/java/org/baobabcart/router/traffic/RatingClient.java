package org.baobabcart.router.traffic;

import io.smallrye.mutiny.Uni;
import java.util.OptionalDouble;

/** Asks the service that rates answers. Thread-safe. */
public interface RatingClient {
    /** The rating from 0 to 1; empty where the service gives none in time. Never fails. */
    Uni<OptionalDouble> rate(RatingRequest request);
}
