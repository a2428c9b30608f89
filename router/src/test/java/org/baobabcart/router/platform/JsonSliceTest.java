package org.baobabcart.router.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.junit.jupiter.api.Test;

class JsonSliceTest {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
    private static final StoredObjectReader READER = StoredObjectReader.create(
            "version",
            (kind, root) -> new StoredObject(
                    kind,
                    root.path("metadata").path("name").asText(),
                    root.path("metadata").path("version").asText(),
                    root.path("content")));

    @Property(seed = "3201")
    void documentIsTakenApartLikeAParserDoes(@ForAll("documents") JsonNode document) {
        assertThat(rebuilt(slice(document.toPrettyString())), is(document));
    }

    private static JsonNode rebuilt(JsonSlice slice) {
        JsonNode parsed = slice.parse();
        if (parsed.isObject()) {
            ObjectNode object = NODES.objectNode();
            slice.members().forEach((name, member) -> object.set(name, rebuilt(member)));
            return object;
        }
        if (parsed.isArray()) {
            ArrayNode array = NODES.arrayNode();
            slice.elements().forEach(element -> array.add(rebuilt(element)));
            return array;
        }
        return parsed;
    }

    /** Whatever bytes a response has, a reader gets values or a coded exception. */
    @Property(seed = "3202")
    void arbitraryBytesGiveValuesOrCodedExceptions(@ForAll("mutilated") byte[] document) {
        try {
            JsonSlice slice = JsonSlice.of(document);
            slice.members().values().forEach(member -> member.elements().forEach(JsonSlice::parse));
        } catch (BaobabcartException fault) {
            assertThat(fault.code(), is(ResultCode.RESPONSE_UNREADABLE));
        }
    }

    /** An element that no parser accepts, but whose brackets and quotes match, leaves its neighbours readable. */
    @Property(seed = "3203")
    void neighboursOfUnreadableObjectAreRead(@ForAll("unreadable") String content) {
        String list = String.join(",", object("a", "1"), object("odd", content), object("b", "2"));
        List<StoredObject> objects = slice("{\"items\":[" + list + "]}").members().get("items").elements().stream()
                .map(item -> READER.read("kind", item))
                .toList();
        assertThat(objects, hasSize(3));
        assertThat(objects.get(0).spec().asInt(), is(1));
        assertThat(objects.get(1).name(), is("odd"));
        assertThat(objects.get(1).fault().isPresent(), is(true));
        assertThat(objects.get(2).spec().asInt(), is(2));
    }

    @Test
    void depthAndDigitsAreLimited() {
        assertThat(
                slice("[".repeat(JsonSlice.MAX_DEPTH) + "]".repeat(JsonSlice.MAX_DEPTH))
                        .parse()
                        .isArray(),
                is(true));
        JsonSlice deep = slice("[".repeat(3_000_000) + "]".repeat(3_000_000));
        assertThrows(BaobabcartException.class, deep::parse);
        JsonSlice number = slice("7".repeat(JsonSlice.MAX_DIGITS + 1));
        assertThrows(BaobabcartException.class, number::parse);
    }

    private static String object(String name, String content) {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"version\":3},\"content\":" + content + "}";
    }

    private static JsonSlice slice(String text) {
        return JsonSlice.of(text.getBytes(StandardCharsets.UTF_8));
    }

    @Provide
    Arbitrary<JsonNode> documents() {
        Arbitrary<JsonNode> scalars = Arbitraries.oneOf(
                Arbitraries.strings().map(NODES::textNode),
                Arbitraries.integers().map(NODES::numberNode),
                Arbitraries.of(true, false).map(NODES::booleanNode),
                Arbitraries.just(NODES.nullNode()));
        return Arbitraries.recursive(() -> scalars, JsonSliceTest::container, 0, 4);
    }

    private static Arbitrary<JsonNode> container(Arbitrary<JsonNode> content) {
        Arbitrary<JsonNode> arrays =
                content.list().ofMaxSize(4).map(elements -> NODES.arrayNode().addAll(elements));
        Arbitrary<JsonNode> objects = Arbitraries.maps(Arbitraries.strings().ofMaxLength(6), content)
                .ofMaxSize(4)
                .map(members -> NODES.objectNode().setAll(members));
        return Arbitraries.oneOf(arrays, objects);
    }

    @Provide
    Arbitrary<byte[]> mutilated() {
        Arbitrary<String> parts = Arbitraries.of(
                "{",
                "}",
                "[",
                "]",
                "\"",
                "\\",
                ":",
                ",",
                " ",
                "items",
                "1e9",
                "-",
                "null",
                "\u0000",
                "\u00e9",
                "{\"items\":[");
        return parts.list().ofMaxSize(20).map(list -> String.join("", list).getBytes(StandardCharsets.ISO_8859_1));
    }

    @Provide
    Arbitrary<String> unreadable() {
        return Arbitraries.oneOf(
                Arbitraries.integers()
                        .between(JsonSlice.MAX_DEPTH, 20_000)
                        .map(depth -> "[".repeat(depth) + "]".repeat(depth)),
                Arbitraries.integers().between(JsonSlice.MAX_DIGITS + 1, 20_000).map("9"::repeat),
                Arbitraries.of("NaN", "\"\u0001\"", "{\"a\" 1}", "[1,,]", "{]", "undefined", "+1", "01"));
    }
}
