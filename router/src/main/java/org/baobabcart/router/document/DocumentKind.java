package org.baobabcart.router.document;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.EventType;

/**
 * Kind of a replicated document: its location in the platform and how it is read and written. Immutable.
 *
 * @param name the name used between peers
 * @param platformKind the collection in the platform
 * @param objectName the name of the object in the collection
 * @param reader parses a specification; throws {@code BaobabcartException} if it is invalid
 * @param writer returns the specification of a document
 * @param generation returns the generation of a document
 * @param describe returns the time line fields that describe a document
 * @param appliedEvent the event recorded when a new document takes effect
 * @param initial creates the initial document if the platform has none; empty if operators publish it
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
        EventType appliedEvent,
        Optional<Supplier<T>> initial) {}
