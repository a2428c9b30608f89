package org.baobabcart.router.control;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Future;
import java.util.function.Supplier;

/** The one bridge between Vert.x futures and Mutiny. */
public final class Futures {
    private Futures() {}

    /** A Uni that starts the operation at each subscription and ends as its future does. */
    public static <T> Uni<T> toUni(Supplier<Future<T>> operation) {
        return Uni.createFrom().completionStage(() -> operation.get().toCompletionStage());
    }
}
