package org.baobabcart.standins.platform;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.Iterator;
import org.baobabcart.standins.base.RunningStandIn;
import org.baobabcart.standins.base.StandInSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class PlatformStandInTest {
    private static final String SHEETS = "/apis/baobabcart/v1/sheets";
    private static final String CURRENT = SHEETS + "/current";

    private RunningStandIn platform;

    @BeforeEach
    void start() throws Exception {
        StandInSettings defaults = RunningStandIn.settings();
        platform = RunningStandIn.start(
                PlatformStandIn::create,
                new StandInSettings(
                        "platform", 0, "a", defaults.engine(), new StandInSettings.Platform(1000, 1000, 4), "", "", 0));
    }

    @AfterEach
    void stop() {
        platform.close();
    }

    @Test
    void rejectsUpdateOfOldVersion() throws Exception {
        String version = create(1);
        assertThat(update(version, 2), equalTo(200));
        assertThat(update(version, 3), equalTo(409));
        assertThat(platform.call("POST", SHEETS, object("", 4)).statusCode(), equalTo(409));
        assertThat(platform.json(CURRENT).getInteger("spec"), equalTo(2));
        assertThat(platform.json("/standin/calls").getInteger("writes"), equalTo(4));
    }

    @Test
    void watchSendsChangesAndRejectsDiscardedVersions() throws Exception {
        String version = create(1);
        Iterator<String> lines = platform.openLines(SHEETS + "?watch=true&timeoutSeconds=30&resourceVersion=" + version)
                .body()
                .iterator();
        update(version, 2);
        JsonObject event = nextChange(lines);
        assertThat(event.getString("type"), equalTo("MODIFIED"));
        assertThat(event.getJsonObject("object").getInteger("spec"), equalTo(2));
        for (int value = 3; value < 9; value++) {
            update(platform.json(CURRENT).getJsonObject("metadata").getString("resourceVersion"), value);
        }
        int status = platform.call("GET", SHEETS + "?watch=true&resourceVersion=" + version, "")
                .statusCode();
        assertThat(status, equalTo(410));
    }

    @Test
    void lostResponseHidesACompletedWrite() throws Exception {
        String version = create(1);
        platform.fault("{\"lose-answers-after-write\":true}");
        assertThrows(IOException.class, () -> update(version, 2));
        platform.fault("{\"lose-answers-after-write\":false}");
        assertThat(platform.json(CURRENT).getInteger("spec"), equalTo(2));
    }

    @Test
    void outageClosesConnectionsWithoutResponse() throws Exception {
        create(1);
        platform.fault("{\"outage\":true}");
        assertThrows(IOException.class, () -> platform.json(CURRENT));
        platform.fault("{\"outage\":false}");
        assertThat(platform.json(CURRENT).getInteger("spec"), equalTo(1));
    }

    @Test
    void limitsValueSizeAndRequestRate() throws Exception {
        String large = "x".repeat(1024 * 1024);
        assertThat(platform.call("POST", SHEETS, object("", large)).statusCode(), equalTo(413));
        platform.fault("{\"reads-per-second\":0}");
        assertThat(platform.call("GET", CURRENT, "").statusCode(), equalTo(429));
    }

    private String create(Object spec) throws Exception {
        JsonObject stored =
                new JsonObject(platform.call("POST", SHEETS, object("", spec)).body());
        assertThat(stored.getJsonObject("metadata").getString("resourceVersion").length(), greaterThan(0));
        return stored.getJsonObject("metadata").getString("resourceVersion");
    }

    private int update(String version, Object spec) throws Exception {
        return platform.call("PUT", CURRENT, object(version, spec)).statusCode();
    }

    private static JsonObject nextChange(Iterator<String> lines) {
        JsonObject event = new JsonObject(lines.next());
        while (event.getString("type").equals("BOOKMARK")) {
            event = new JsonObject(lines.next());
        }
        return event;
    }

    private static String object(String version, Object spec) {
        JsonObject metadata = new JsonObject().put("name", "current").put("resourceVersion", version);
        return new JsonObject().put("metadata", metadata).put("spec", spec).encode();
    }
}
