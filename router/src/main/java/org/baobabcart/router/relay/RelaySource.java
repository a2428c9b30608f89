package org.baobabcart.router.relay;

import io.vertx.core.buffer.Buffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongSupplier;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ResourceVersion;

/**
 * What this router hears from the store itself, kept for those who subscribe to it. Confined to the control thread.
 *
 * <p>News are as old as the poll that they come from must be: a poll that waits for a known time is answered about then or earlier, and an answer
 * that arrives later was late on its way.
 */
final class RelaySource {
    /** Beyond these, a router is turned away and asks the next one. */
    static final int MAX_SUBSCRIBERS = 64;

    /** A larger batch is not kept, and subscribers read a list instead. */
    private static final int MAX_BATCH_BYTES = 128 * 1024;

    private static final long NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();

    private final LongSupplier clock;
    private final Map<String, Followed> followed = new HashMap<>();
    private final Set<Subscriber> subscribers = new HashSet<>();

    /** A connection that receives what this router hears. */
    interface Subscriber {
        /** Returns the name of the subscribed router. */
        String router();

        /** Ends the stream, upon which the subscriber is removed. */
        void end();

        /** Sends lines; must not block. */
        void send(Buffer lines);
    }

    /** A kind that this router follows directly. */
    private static final class Followed {
        private final OptionalLong era;
        private ChangeLog log;
        private final int failures;
        private long answeredNanos;
        private boolean hasProof;
        private long proofNanos;

        private Followed(ResourceVersion begin, long nowNanos, int failures) {
            this.era = begin.era();
            this.log = ChangeLog.startingAt(begin.revision());
            this.answeredNanos = nowNanos;
            this.failures = failures;
        }

        private ResourceVersion begin() {
            return new ResourceVersion(era, log.begin());
        }

        private ResourceVersion end() {
            return new ResourceVersion(era, log.end());
        }
    }

    private RelaySource(LongSupplier clock) {
        this.clock = clock;
    }

    static RelaySource create(LongSupplier clock) {
        return new RelaySource(clock);
    }

    /** Begins to follow a kind at a version; keeps the log if it ends there. */
    void begin(String kind, ResourceVersion version, int failures) {
        if (endsAt(kind, version) && failures == 0) {
            return;
        }
        followed.put(kind, new Followed(version, clock.getAsLong(), failures));
        send(RelayLine.restart(kind, version, failures));
    }

    /** Returns whether a kind is followed and its log ends at a version. */
    boolean endsAt(String kind, ResourceVersion version) {
        Followed known = followed.get(kind);
        return known != null && known.end().equals(version);
    }

    /** Ends following a kind, of which this router no longer hears from the store. */
    void end(String kind) {
        if (followed.remove(kind) != null) {
            send(RelayLine.end(kind));
        }
    }

    /**
     * Takes the answer to a poll, unless it is of another era than the log.
     *
     * @param version the version up to which the changes are complete
     * @param longestPoll the longest time from one answer to the next
     */
    void onAnswer(String kind, ResourceVersion version, List<ObjectEvent> events, Duration longestPoll) {
        Followed known = followed.get(kind);
        if (known == null || !known.era.equals(version.era())) {
            return;
        }
        long now = clock.getAsLong();
        known.proofNanos = Math.min(now, known.answeredNanos + longestPoll.toNanos());
        known.answeredNanos = now;
        known.hasProof = true;
        Buffer lines = RelayLine.events(events);
        if (lines.length() > MAX_BATCH_BYTES) {
            known.log = ChangeLog.startingAt(version.revision());
            send(RelayLine.restart(kind, version, 0));
            return;
        }
        boolean hasNews =
                known.log.append(version.revision(), events, lines.length()).isPresent();
        if (hasNews && !events.isEmpty()) {
            send(lines.appendBuffer(RelayLine.bookmark(kind, version.revision())));
        }
    }

    /** Adds a subscriber, which receives all logs; returns false if there are too many. */
    boolean add(Subscriber subscriber) {
        if (subscribers.size() >= MAX_SUBSCRIBERS) {
            return false;
        }
        Buffer lines = Buffer.buffer();
        followed.forEach((kind, known) -> {
            lines.appendBuffer(RelayLine.restart(kind, known.begin(), known.failures));
            known.log
                    .after(known.log.begin())
                    .forEach(batch -> lines.appendBuffer(RelayLine.events(batch.events()))
                            .appendBuffer(RelayLine.bookmark(kind, batch.to())));
        });
        subscribers.add(subscriber);
        subscriber.send(lines.appendBuffer(ages()));
        return true;
    }

    void remove(Subscriber subscriber) {
        subscribers.remove(subscriber);
    }

    int subscribers() {
        return subscribers.size();
    }

    /** Ends the streams to all but these routers, of which some may have lost their power without a word. */
    void retainOnly(Set<String> routers) {
        List.copyOf(subscribers).stream()
                .filter(subscriber -> !routers.contains(subscriber.router()))
                .forEach(Subscriber::end);
    }

    /** Tells all subscribers the age of the news. */
    void sendAges() {
        if (!subscribers.isEmpty()) {
            send(ages());
        }
    }

    private Buffer ages() {
        long now = clock.getAsLong();
        Map<String, RelayLine.Age> ages = new HashMap<>();
        followed.forEach((kind, known) -> {
            if (known.hasProof) {
                long millis = (now - known.proofNanos) / NANOS_PER_MILLI + 1;
                ages.put(kind, new RelayLine.Age(known.log.end(), millis));
            }
        });
        return RelayLine.ages(ages);
    }

    private void send(Buffer lines) {
        List.copyOf(subscribers).forEach(subscriber -> subscriber.send(lines));
    }
}
