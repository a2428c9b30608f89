package org.baobabcart.router.timeline;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.baobabcart.router.testing.ManualTimerService;
import org.junit.jupiter.api.Test;

class RingTimelineTest {
    private final ManualTimerService timers = ManualTimerService.create();
    private final RingTimeline timeline = RingTimeline.create("node", timers, 3);

    @Test
    void keepsTheLatestEventsInOrder() {
        for (int event = 0; event < 5; event++) {
            timeline.record(EventType.REQUEST_RECEIVED, "request-" + event, EventFields.none());
        }
        List<String> requests = timeline.events(TimelineQuery.all()).stream()
                .map(TimelineEvent::requestId)
                .toList();
        assertThat(requests, contains("request-2", "request-3", "request-4"));
    }

    @Test
    void filtersByRequestTypeSheetAndClock() {
        timeline.record(EventType.REQUEST_RECEIVED, "request", EventFields.none());
        timers.advance(Duration.ofSeconds(1));
        timeline.record(
                EventType.SHEET_APPLIED,
                EventFields.of(EventField.GENERATION, 12)
                        .with(EventField.NAME, "morning")
                        .with(EventField.SOURCE, "PEER"));
        long first = timeline.events(TimelineQuery.all()).get(0).clock();
        Optional<String> none = Optional.empty();
        assertThat(count(new TimelineQuery(Optional.of("request"), 0, none, Optional.empty())), is(1));
        assertThat(count(new TimelineQuery(none, 0, Optional.of("12"), Optional.empty())), is(1));
        assertThat(count(new TimelineQuery(none, 0, Optional.of("1"), Optional.empty())), is(0));
        assertThat(count(new TimelineQuery(none, first, none, Optional.empty())), is(1));
        assertThat(count(new TimelineQuery(none, 0, none, Optional.of(EventType.REQUEST_RECEIVED))), is(1));
    }

    @Test
    void eventAfterAReceivedMessageHasALaterTimestampThanTheMessage() {
        RingTimeline peer = RingTimeline.create("peer", timers, 3);
        for (int event = 0; event < 10; event++) {
            peer.record(EventType.REQUEST_RECEIVED, EventFields.none());
        }
        long sent = peer.send();
        timeline.receive(sent);
        timeline.record(EventType.REQUEST_FINISHED, EventFields.none());
        assertThat(timeline.events(TimelineQuery.all()).get(0).clock(), greaterThan(sent));
    }

    private int count(TimelineQuery query) {
        return timeline.events(query).size();
    }
}
