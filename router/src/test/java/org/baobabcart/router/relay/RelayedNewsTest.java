package org.baobabcart.router.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ResourceVersion;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.junit.jupiter.api.Test;

class RelayedNewsTest {
    private static final String KIND = "config";
    private static final Duration POLL = Duration.ofMillis(800);

    private long nowNanos;
    private final RelaySource source = RelaySource.create(() -> nowNanos);
    private final RelayedNews news = RelayedNews.create(0);

    RelayedNewsTest() {
        source.add(new RelaySource.Subscriber() {
            @Override
            public void end() {}

            @Override
            public String router() {
                return "a";
            }

            @Override
            public void send(Buffer lines) {
                List.of(lines.toString().split("\n")).forEach(line -> {
                    news.onLine(line.getBytes(StandardCharsets.UTF_8), nowNanos);
                });
            }
        });
    }

    private void advance(Duration duration) {
        nowNanos += duration.toNanos();
    }

    private static ObjectEvent event(StoredObject object) {
        return new ObjectEvent(ObjectEvent.Type.MODIFIED, object);
    }

    /** An answer that arrives seconds after the end of its poll was late on its way, and may lack what was changed since. */
    @Test
    void aLateAnswerProvesNoMoreThanItsPoll() {
        source.begin(KIND, ResourceVersion.of(1), 0);
        source.sendAges();
        assertThat(news.proofNanos(KIND), is(Optional.empty()));
        advance(POLL.multipliedBy(4));
        source.onAnswer(KIND, ResourceVersion.of(1), List.of(), POLL);
        source.sendAges();
        long age = nowNanos - news.proofNanos(KIND).orElseThrow();
        assertThat(age >= POLL.multipliedBy(3).toNanos(), is(true));
        advance(POLL);
        source.onAnswer(KIND, ResourceVersion.of(1), List.of(), POLL);
        source.sendAges();
        age = nowNanos - news.proofNanos(KIND).orElseThrow();
        assertThat(age < Duration.ofMillis(2).toNanos(), is(true));
    }

    @Test
    void objectsArriveWhole() {
        StoredObject object = new StoredObject(
                KIND,
                "main",
                "2",
                JsonNodeFactory.instance.objectNode().put("a", 1),
                JsonNodeFactory.instance.objectNode().put("state", "done"),
                "17");
        StoredObject unreadable = StoredObject.unreadable(KIND, "odd", "3", "not an object");
        source.begin(KIND, ResourceVersion.of(1), 0);
        source.onAnswer(KIND, ResourceVersion.of(3), List.of(event(object), event(unreadable)), POLL);
        List<ObjectEvent> events = news.log(KIND, ResourceVersion.of(1))
                .orElseThrow()
                .after(1)
                .get(0)
                .events();
        assertThat(events, is(List.of(event(object), event(unreadable))));
    }

    /** A batch that is too large for the stream is left to a list from the store. */
    @Test
    void aLargeBatchBeginsTheLogAnew() {
        StoredObject object = new StoredObject(
                KIND, "main", "2", JsonNodeFactory.instance.objectNode().put("a", "x".repeat(200_000)));
        source.begin(KIND, ResourceVersion.of(1), 0);
        source.onAnswer(KIND, ResourceVersion.of(2), List.of(event(object)), POLL);
        assertThat(news.beginsAfter(KIND, ResourceVersion.of(1)), is(true));
        assertThat(news.continues(KIND, ResourceVersion.of(2)), is(true));
    }

    @Test
    void theLogIsBounded() {
        source.begin(KIND, ResourceVersion.of(1), 0);
        for (int revision = 2; revision < 500; revision++) {
            StoredObject object =
                    new StoredObject(KIND, "main", Integer.toString(revision), JsonNodeFactory.instance.objectNode());
            source.onAnswer(KIND, ResourceVersion.of(revision), List.of(event(object)), POLL);
        }
        assertThat(news.continues(KIND, ResourceVersion.of(1)), is(false));
        assertThat(news.continues(KIND, ResourceVersion.of(490)), is(true));
    }

    @Test
    void invalidLinesEndTheStream() {
        List.of(
                        "",
                        "[]",
                        "{}",
                        "{\"type\":\"NONE\"}",
                        "{\"type\":\"RESTART\"}",
                        "{\"type\":\"MODIFIED\",\"object\":{}}")
                .forEach(line -> assertThrows(
                        BaobabcartException.class,
                        () -> news.onLine(line.getBytes(StandardCharsets.UTF_8), nowNanos),
                        line));
    }

    @Test
    void aKindThatIsNoLongerFollowedIsForgotten() {
        source.begin(KIND, ResourceVersion.of(1), 0);
        source.end(KIND);
        assertThat(news.continues(KIND, ResourceVersion.of(1)), is(false));
    }
}
