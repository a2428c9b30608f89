package org.baobabcart.standins.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ObjectTableTest {
    private final List<ObjectTable.Event> events = new ArrayList<>();
    private final ObjectTable table = ObjectTable.create(2, events::add);

    @Test
    void updatesOnlyTheVersionThatWasRead() {
        String read = version(table.create("sheets", "current", 1).orElseThrow());
        table.update("sheets", "current", read, 2).orElseThrow();
        assertThat(table.update("sheets", "current", read, 3).isPresent(), is(false));
        assertThat(table.read("sheets", "current").orElseThrow().getInteger("spec"), equalTo(2));
    }

    @Test
    void rejectsCreatingAnExistingName() {
        table.create("sheets", "current", 1).orElseThrow();
        assertThat(table.create("sheets", "current", 2).isPresent(), is(false));
    }

    @Test
    void deletesOnlyTheVersionThatWasRead() {
        String read = version(table.create("sheets", "current", 1).orElseThrow());
        assertThat(table.delete("sheets", "current", "1000"), is(false));
        assertThat(table.delete("sheets", "current", read), is(true));
        assertThat(events.get(1).type(), equalTo("DELETED"));
    }

    @Test
    void reportsThatOldEventsWereDiscarded() {
        long start = table.version();
        table.create("sheets", "one", 1);
        table.create("sheets", "two", 1);
        assertThat(table.eventsAfter("sheets", start).orElseThrow(), equalTo(events));
        table.create("sheets", "three", 1);
        assertThat(table.eventsAfter("sheets", start).isPresent(), is(false));
        assertThat(table.eventsAfter("sheets", start + 1).orElseThrow(), equalTo(events.subList(1, 3)));
    }

    private static String version(JsonObject object) {
        return object.getJsonObject("metadata").getString("resourceVersion");
    }
}
