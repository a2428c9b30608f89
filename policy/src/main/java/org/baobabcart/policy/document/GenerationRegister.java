package org.baobabcart.policy.document;

import java.util.Optional;

/**
 * The newest document that a node has seen. Immutable.
 *
 * <p>Only a greater generation replaces the content. Since the platform accepts one document for each generation, the
 * merge of two registers is the greater one: commutative, associative, idempotent and monotone, so that any history of
 * exchanges that connects the nodes brings them to the same document.
 *
 * @param generation the generation, zero before the first document
 * @param content the document, empty before the first one
 * @param <T> the immutable type of the document
 */
public record GenerationRegister<T>(long generation, Optional<T> content) {
    /** A register without a document. */
    public static <T> GenerationRegister<T> empty() {
        return new GenerationRegister<>(0, Optional.empty());
    }

    /** The register after a document was offered; the same instance where the offer is not newer. */
    public GenerationRegister<T> offer(long offeredGeneration, T offered) {
        return offeredGeneration > generation
                ? new GenerationRegister<>(offeredGeneration, Optional.of(offered))
                : this;
    }
}
