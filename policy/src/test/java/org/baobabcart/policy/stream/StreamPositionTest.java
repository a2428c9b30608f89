package org.baobabcart.policy.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.baobabcart.model.request.EventId;
import org.junit.jupiter.api.Test;

/** A stream that is continued at another upstream repeats no event that the caller has, whatever the ids of its events. */
class StreamPositionTest {
    private static final int EVENTS = 6;

    /**
     * An attempt at a stream.
     *
     * @param honoursPosition whether the upstream starts after the id that it is given; otherwise it starts at the first event
     * @param length the number of events after which the connection breaks
     */
    record Attempt(boolean honoursPosition, int length) {}

    @Property
    void answerIsThePrefixOfTheStream(@ForAll("ids") List<String> ids, @ForAll("attempts") List<Attempt> attempts) {
        StreamPosition position = StreamPosition.create(Optional.empty());
        List<Integer> received = new ArrayList<>();
        boolean complete = false;
        for (Attempt attempt : attempts) {
            if (complete || !position.isResumable()) {
                break;
            }
            int first = attempt.honoursPosition() ? indexAfter(ids, position.resumeAfter()) : 0;
            position.attemptBegan();
            complete = play(position, ids, first, attempt.length(), received);
        }
        assertThat(received, is(IntStream.range(0, received.size()).boxed().toList()));
        if (complete) {
            assertThat(received.size(), is(ids.size()));
        }
    }

    /** Returns whether the stream ended, and may end there. */
    private static boolean play(
            StreamPosition position, List<String> ids, int first, int length, List<Integer> received) {
        int end = Math.min(ids.size(), first + length);
        for (int index = first; index < end; index++) {
            EventAction action = position.advance(EventId.parse(ids.get(index)));
            if (action == EventAction.BREAK_OFF) {
                return false;
            }
            if (action == EventAction.RELAY) {
                received.add(index);
            }
        }
        return end == ids.size() && position.hasCaughtUp();
    }

    private static int indexAfter(List<String> ids, Optional<EventId> last) {
        if (last.isEmpty()) {
            return 0;
        }
        return 1 + ids.lastIndexOf(last.get().toString());
    }

    /** Within an attempt, an id that does not increase shows that the upstream's ids cannot be relied on. */
    @Property
    void streamBreaksOffAtTheFirstIdThatDoesNotIncrease(@ForAll("smallIds") List<String> ids) {
        StreamPosition position = StreamPosition.create(Optional.empty());
        List<Integer> received = new ArrayList<>();
        position.attemptBegan();
        boolean complete = play(position, ids, 0, ids.size(), received);
        int sound = 1;
        while (sound < ids.size() && Integer.parseInt(ids.get(sound)) > Integer.parseInt(ids.get(sound - 1))) {
            sound++;
        }
        assertThat(received.size(), is(sound));
        assertThat(complete, is(sound == ids.size()));
    }

    @Provide
    Arbitrary<List<String>> smallIds() {
        return Arbitraries.integers()
                .between(0, 20)
                .map(String::valueOf)
                .list()
                .ofMinSize(1)
                .ofMaxSize(EVENTS);
    }

    /** Ids that increase, of any size, some of them missing, not numeric or beyond the limit. */
    @Provide
    Arbitrary<List<String>> ids() {
        Arbitrary<String> prefixes = Arbitraries.of(
                "", "17", "99999999999999999", "922337203685477580", "1844674407370955161", "1".repeat(40));
        Arbitrary<List<String>> odd = Arbitraries.of("", "", "", "", "", "", "none", "x1", "-1", "1".repeat(200))
                .list()
                .ofSize(EVENTS);
        return prefixes.flatMap(prefix -> odd.map(replacements -> IntStream.range(0, EVENTS)
                .mapToObj(index -> replacements.get(index).isEmpty() ? prefix + (index + 1) : replacements.get(index))
                .toList()));
    }

    @Provide
    Arbitrary<List<Attempt>> attempts() {
        return Arbitraries.integers()
                .between(0, EVENTS)
                .flatMap(length -> Arbitraries.of(true, false).map(honours -> new Attempt(honours, length)))
                .list()
                .ofMinSize(1)
                .ofMaxSize(4);
    }

    @Test
    void runThatIsShorterThanWhatTheCallerHasIsNotComplete() {
        StreamPosition position = StreamPosition.create(Optional.empty());
        position.attemptBegan();
        position.advance(EventId.parse("1"));
        position.advance(EventId.parse("2"));
        position.attemptBegan();
        assertThat(position.advance(EventId.parse("1")), is(EventAction.DROP));
        assertThat(position.hasCaughtUp(), is(false));
        assertThat(position.advance(EventId.parse("2")), is(EventAction.DROP));
        assertThat(position.hasCaughtUp(), is(true));
    }

    @Test
    void eventsBeforeTheRequestedPositionAreDropped() {
        StreamPosition position = StreamPosition.create(EventId.parse("5"));
        position.attemptBegan();
        assertThat(position.advance(EventId.parse("5")), is(EventAction.DROP));
        assertThat(position.advance(EventId.parse("6")), is(EventAction.RELAY));
    }
}
