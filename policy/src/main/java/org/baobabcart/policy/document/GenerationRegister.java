package org.baobabcart.policy.document;

import java.util.Optional;

/**
 * Register of the newest document that a node has received. Immutable.
 *
 * <p>Only a greater generation replaces the content. Since the platform accepts one document for each generation,
 * merging two registers returns the greater one. This is commutative, associative, idempotent and monotone, so that
 * nodes converge to the same document by any history of exchanges that connects them.
 *
 * @param generation the generation, zero before the first document
 * @param content the document, empty before the first one
 * @param <T> the immutable type of the document
 */
public record GenerationRegister<T>(long generation, Optional<T> content) {
    /** Returns a register without a document. */
    public static <T> GenerationRegister<T> empty() {
        return new GenerationRegister<>(0, Optional.empty());
    }

    /** Returns this register after a document was offered; the same instance if the offer is not newer. */
    public GenerationRegister<T> offer(long offeredGeneration, T offered) {
        return offeredGeneration > generation
                ? new GenerationRegister<>(offeredGeneration, Optional.of(offered))
                : this;
    }
}
