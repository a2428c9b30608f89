package org.baobabcart.router.control;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import java.util.function.Supplier;

/** Converts Vert.x futures to Mutiny; the only place that does. */
public final class Futures {
    private Futures() {}

    /** Returns a Uni that starts the operation on each subscription and completes or fails like its future. */
    public static <T> Uni<T> toUni(Supplier<Future<T>> operation) {
        return Uni.createFrom().completionStage(() -> operation.get().toCompletionStage());
    }
}
