package org.baobabcart.router.traffic;

import io.smallrye.mutiny.Uni;
import java.util.OptionalDouble;

/** A client of the service that rates responses. Thread-safe. */
public interface RatingClient {
    /** Returns the rating from 0 to 1, or empty if the service does not rate in time. Never fails. */
    Uni<OptionalDouble> rate(RatingRequest request);
}
