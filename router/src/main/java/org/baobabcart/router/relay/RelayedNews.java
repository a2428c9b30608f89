package org.baobabcart.router.relay;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ResourceVersion;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.platform.JsonSlice;
import org.baobabcart.router.platform.ObjectJson;

/**
 * What a relay has told on one connection. Confined to the control thread.
 *
 * <p>The age of its news is counted from the arrival of the line that told it, so that it grows with any silence. Only answers that the store has given
 * since the connection was opened count, as the clock of a relay that was suspended may not have counted that time.
 */
final class RelayedNews {
    /** The maximum number of kinds, above which a stream is treated as invalid. */
    private static final int MAX_KINDS = 32;

    /** The maximum size of the events of a batch. */
    private static final int MAX_BATCH_BYTES = 1024 * 1024;

    private static final long NANOS_PER_MILLI = Duration.ofMillis(1).toNanos();

    private final Map<String, KindNews> kinds = new HashMap<>();
    private final long openedNanos;
    private long lastLineNanos;
    private long events;

    private RelayedNews(long nowNanos) {
        openedNanos = nowNanos;
        lastLineNanos = nowNanos;
    }

    static RelayedNews create(long nowNanos) {
        return new RelayedNews(nowNanos);
    }

    /** What a relay has told of one kind. */
    private static final class KindNews {
        private final OptionalLong era;
        private ChangeLog log;
        private List<ObjectEvent> pending = new ArrayList<>();
        private int pendingBytes;
        private boolean hasProof;
        private long proofNanos;
        private int failures;

        private KindNews(ResourceVersion begin) {
            era = begin.era();
            log = ChangeLog.startingAt(begin.revision());
        }

        private boolean isSameEra(ResourceVersion position) {
            return era.equals(position.era());
        }
    }

    /**
     * Takes a line; returns whether the changes up to it can be taken.
     *
     * @throws BaobabcartException with {@code RESPONSE_UNREADABLE} if the line is invalid, after which the connection must not be used
     */
    boolean onLine(byte[] line, long nowNanos) {
        lastLineNanos = nowNanos;
        Map<String, JsonSlice> members = JsonSlice.of(line).members();
        String type = RelayLine.required(members, RelayLine.TYPE).parse().asText();
        switch (type) {
            case RelayLine.RESTART -> onRestart(members);
            case RelayLine.END ->
                kinds.remove(RelayLine.required(members, RelayLine.KIND).parse().asText());
            case RelayLine.AGES ->
                onAges(RelayLine.required(members, RelayLine.KINDS).parse(), nowNanos);
            default -> {
                return onEvent(ObjectJson.event(line), line.length);
            }
        }
        return true;
    }

    private void onRestart(Map<String, JsonSlice> members) {
        String kind = RelayLine.required(members, RelayLine.KIND).parse().asText();
        JsonSlice era = members.get(RelayLine.ERA);
        KindNews news = new KindNews(new ResourceVersion(
                era == null ? OptionalLong.empty() : OptionalLong.of(era.parse().asLong()),
                RelayLine.required(members, RelayLine.REVISION).parse().asLong()));
        news.failures = RelayLine.required(members, RelayLine.FAILURES).parse().asInt();
        if (kinds.size() < MAX_KINDS || kinds.containsKey(kind)) {
            kinds.put(kind, news);
        }
    }

    private boolean onEvent(ObjectEvent event, int bytes) {
        KindNews news = kinds.get(event.object().kind());
        if (news == null) {
            return false;
        }
        if (event.type() != ObjectEvent.Type.BOOKMARK) {
            news.pending.add(RelayLine.withEra(event, news.era));
            news.pendingBytes += bytes;
            events++;
            requireBounded(news.pendingBytes);
            return false;
        }
        news.log.append(ResourceVersion.of(event.object()).revision(), news.pending, news.pendingBytes);
        news.pending = new ArrayList<>();
        news.pendingBytes = 0;
        return true;
    }

    private static void requireBounded(int batchBytes) {
        if (batchBytes > MAX_BATCH_BYTES) {
            throw BaobabcartException.of(ResultCode.RESPONSE_UNREADABLE, "a batch without an end");
        }
    }

    private void onAges(JsonNode ages, long nowNanos) {
        ages.properties().forEach(entry -> {
            KindNews news = kinds.get(entry.getKey());
            if (news != null) {
                news.log.append(entry.getValue().path(RelayLine.REVISION).asLong(), List.of(), 0);
                long proof = nowNanos - entry.getValue().path(RelayLine.MILLIS).asLong() * NANOS_PER_MILLI;
                if (proof - openedNanos >= 0) {
                    news.proofNanos = proof;
                    news.hasProof = true;
                }
            }
        });
    }

    /** Returns the log of a kind if it holds every change after a version. */
    Optional<ChangeLog> log(String kind, ResourceVersion position) {
        return Optional.ofNullable(kinds.get(kind))
                .filter(news -> news.isSameEra(position))
                .map(news -> news.log)
                .filter(log -> log.covers(position.revision()));
    }

    /** Returns whether the relay tells every change of a kind after a version, at once or when it has caught up. */
    boolean continues(String kind, ResourceVersion position) {
        KindNews news = kinds.get(kind);
        return news != null && news.isSameEra(position) && news.log.begin() <= position.revision();
    }

    /** Returns whether the relay lacks changes after a version, as it began later or in another era of the store. */
    boolean beginsAfter(String kind, ResourceVersion position) {
        KindNews news = kinds.get(kind);
        return news != null && (!news.isSameEra(position) || news.log.begin() > position.revision());
    }

    /** Returns when, by this process's clock, the store still answered the relay about a kind; empty if the relay has not told. */
    Optional<Long> proofNanos(String kind) {
        return Optional.ofNullable(kinds.get(kind))
                .filter(news -> news.hasProof)
                .map(news -> news.proofNanos);
    }

    /** Returns how many calls in a row had failed before the relay's log of a kind began. */
    int failures(String kind) {
        return Optional.ofNullable(kinds.get(kind)).map(news -> news.failures).orElse(0);
    }

    long lastLineNanos() {
        return lastLineNanos;
    }

    /** Returns the number of events that this relay has told. */
    long events() {
        return events;
    }
}
