package org.baobabcart.router.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;

/**
 * A kind of document: where it stands and how it is read. Immutable.
 *
 * @param name its name between peers
 * @param platformKind the collection in the platform
 * @param objectName the object in the collection
 * @param reader reads the specification; throws {@code BaobabcartException} where it is not sound
 * @param writer the specification of a document
 * @param generation its generation
 * @param describe what the time line states of it
 * @param applied the event of a new document in force
 * @param first makes the first document where the platform has none; empty where operators publish it
 * @param <T> the immutable type of the document
 */
public record DocumentKind<T>(
        String name,
        String platformKind,
        String objectName,
        Function<JsonNode, T> reader,
        Function<T, JsonNode> writer,
        ToLongFunction<T> generation,
        Function<T, EventFields> describe,
        EventType applied,
        Optional<Supplier<T>> first) {}
