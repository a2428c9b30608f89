package org.baobabcart.router.relay;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.MultiEmitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.baobabcart.model.platform.ObjectEvent;
import org.baobabcart.model.platform.ObjectSnapshot;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.control.TimerService;
import org.baobabcart.router.platform.ObjectStore;

/** A store in memory whose watches are long polls, with the history that they need. Each router has a link of its own, which counts its calls. */
final class PolledStore {
    private static final Duration PAUSE = Duration.ofMillis(400);
    private static final Duration ORDINARY_WAIT = Duration.ofMillis(2_000);
    private static final Duration TRANSFER = Duration.ofMillis(700);
    private static final Duration LATENCY = Duration.ofMillis(4);

    private final TimerService timers;
    private final Map<String, StoredObject> objects = new TreeMap<>();
    private final List<ObjectEvent> history = new ArrayList<>();
    private final List<Long> historyRevisions = new ArrayList<>();
    private final List<Poll> waiting = new ArrayList<>();
    private long revision = 1;
    private long compactedAt;
    private boolean deaf;
    private int calls;

    PolledStore(TimerService timers) {
        this.timers = timers;
    }

    int calls() {
        return calls;
    }

    long revision() {
        return revision;
    }

    /** While deaf, no poll is answered, as before the history is dropped. */
    void setDeaf(boolean nowDeaf) {
        deaf = nowDeaf;
    }

    /** Drops the history and cuts all polls. */
    void compact() {
        compactedAt = revision;
        List<Poll> cut = List.copyOf(waiting);
        waiting.clear();
        cut.forEach(poll -> poll.fail(ResultCode.WATCH_EXPIRED));
    }

    /** Breaks all polls. */
    void breakPolls() {
        List<Poll> broken = List.copyOf(waiting);
        waiting.clear();
        broken.forEach(poll -> poll.fail(ResultCode.PLATFORM_UNAVAILABLE));
    }

    StoredObject put(String kind, String name, int value) {
        revision++;
        StoredObject object = new StoredObject(
                kind,
                name,
                Long.toString(revision),
                JsonNodeFactory.instance.objectNode().put("value", value));
        objects.put(kind + "/" + name, object);
        publish(new ObjectEvent(ObjectEvent.Type.MODIFIED, object));
        return object;
    }

    /** Removes an object; the event bears the revision of its last state. */
    void remove(String kind, String name) {
        StoredObject object = objects.remove(kind + "/" + name);
        if (object != null) {
            revision++;
            publish(new ObjectEvent(ObjectEvent.Type.DELETED, object));
        }
    }

    private void publish(ObjectEvent event) {
        history.add(event);
        historyRevisions.add(revision);
        List.copyOf(waiting).forEach(Poll::answerChanges);
    }

    List<StoredObject> list(String kind) {
        return objects.values().stream()
                .filter(object -> object.kind().equals(kind))
                .toList();
    }

    private List<ObjectEvent> changes(String kind, long from) {
        List<ObjectEvent> changes = new ArrayList<>();
        for (int index = 0; index < history.size(); index++) {
            if (historyRevisions.get(index) > from
                    && history.get(index).object().kind().equals(kind)) {
                changes.add(history.get(index));
            }
        }
        return changes;
    }

    private static BaobabcartException failure(ResultCode code) {
        return BaobabcartException.of(code);
    }

    /** The way of one router to the store. While cut, calls time out and answers are lost. */
    final class Link implements ObjectStore {
        private boolean cut;
        private boolean refused;
        private int linkCalls;

        void setCut(boolean nowCut) {
            cut = nowCut;
        }

        /** While refused, each call fails at once. */
        void setRefused(boolean nowRefused) {
            refused = nowRefused;
        }

        int calls() {
            return linkCalls;
        }

        private <T> Uni<T> call(Supplier<T> operation) {
            return Uni.createFrom().emitter(emitter -> {
                calls++;
                linkCalls++;
                if (cut || refused) {
                    timers.after(
                            "lost",
                            refused ? LATENCY : Duration.ofMillis(1_500),
                            () -> emitter.fail(failure(ResultCode.PLATFORM_UNAVAILABLE)));
                    return;
                }
                timers.after("call", LATENCY, () -> {
                    try {
                        emitter.complete(operation.get());
                    } catch (BaobabcartException fault) {
                        emitter.fail(fault);
                    }
                });
            });
        }

        @Override
        public Uni<StoredObject> read(String kind, String name) {
            return call(() -> existing(kind, name));
        }

        @Override
        public Uni<List<StoredObject>> list(String kind) {
            return call(() -> PolledStore.this.list(kind));
        }

        @Override
        public Uni<ObjectSnapshot> snapshot(String kind) {
            return call(() -> new ObjectSnapshot(PolledStore.this.list(kind), Long.toString(revision)));
        }

        @Override
        public Uni<StoredObject> create(StoredObject object) {
            return call(() -> {
                if (objects.containsKey(object.kind() + "/" + object.name())) {
                    throw failure(ResultCode.CONFLICT);
                }
                return write(object);
            });
        }

        @Override
        public Uni<StoredObject> update(StoredObject object) {
            return call(() -> {
                requireUnchanged(object);
                return write(object);
            });
        }

        private StoredObject write(StoredObject object) {
            revision++;
            StoredObject stored =
                    new StoredObject(object.kind(), object.name(), Long.toString(revision), object.spec());
            objects.put(object.kind() + "/" + object.name(), stored);
            publish(new ObjectEvent(ObjectEvent.Type.MODIFIED, stored));
            return stored;
        }

        private StoredObject existing(String kind, String name) {
            StoredObject object = objects.get(kind + "/" + name);
            if (object == null) {
                throw failure(ResultCode.NOT_FOUND);
            }
            return object;
        }

        private void requireUnchanged(StoredObject object) {
            if (!existing(object.kind(), object.name()).resourceVersion().equals(object.resourceVersion())) {
                throw failure(ResultCode.CONFLICT);
            }
        }

        @Override
        public Uni<Void> delete(StoredObject object) {
            return call(() -> {
                requireUnchanged(object);
                remove(object.kind(), object.name());
                return null;
            });
        }

        @Override
        public Multi<ObjectEvent> watch(String kind, String from) {
            return watch(kind, from, ORDINARY_WAIT);
        }

        @Override
        public Multi<ObjectEvent> watch(String kind, String from, Duration longestSilence) {
            return Multi.createFrom()
                    .emitter(emitter -> new Poll(this, kind, Long.parseLong(from), longestSilence, emitter).begin());
        }
    }

    Link link() {
        return new Link();
    }

    /** A poll of a watch. */
    private final class Poll {
        private final Link link;
        private final String kind;
        private final long from;
        private final Duration longestSilence;
        private Duration wait;
        private final MultiEmitter<? super ObjectEvent> emitter;
        private boolean answered;

        private Poll(
                Link link, String kind, long from, Duration longestSilence, MultiEmitter<? super ObjectEvent> emitter) {
            this.link = link;
            this.kind = kind;
            this.from = from;
            this.longestSilence = longestSilence;
            this.wait = longestSilence;
            this.emitter = emitter;
        }

        private void begin() {
            if (emitter.isCancelled()) {
                return;
            }
            calls++;
            link.linkCalls++;
            emitter.onTermination(() -> waiting.remove(this));
            if (link.refused) {
                timers.after("refused", LATENCY, () -> fail(ResultCode.PLATFORM_UNAVAILABLE));
                return;
            }
            timers.after("poll-timeout", wait.plus(TRANSFER), () -> fail(ResultCode.PLATFORM_UNAVAILABLE));
            if (from < compactedAt) {
                timers.after("expired", LATENCY, () -> fail(ResultCode.WATCH_EXPIRED));
                return;
            }
            waiting.add(this);
            timers.after("poll", LATENCY, this::answerChanges);
            timers.after("poll-end", wait, this::answer);
        }

        private void answerChanges() {
            if (!changes(kind, from).isEmpty()) {
                answer();
            }
        }

        private void answer() {
            if (answered || link.cut || deaf || !waiting.remove(this)) {
                return;
            }
            List<ObjectEvent> events = changes(kind, from);
            long at = revision;
            answered = true;
            timers.after("answer", LATENCY, () -> receive(events, at));
        }

        private void receive(List<ObjectEvent> events, long at) {
            events.forEach(emitter::emit);
            emitter.emit(new ObjectEvent(
                    ObjectEvent.Type.BOOKMARK,
                    new StoredObject(kind, "", Long.toString(at), JsonNodeFactory.instance.objectNode())));
            Poll next = new Poll(link, kind, at, longestSilence, emitter);
            next.wait = events.isEmpty() ? longestSilence : longestSilence.minus(PAUSE);
            timers.after("next", events.isEmpty() ? Duration.ofMillis(1) : PAUSE, next::begin);
        }

        private void fail(ResultCode code) {
            if (!answered && !emitter.isCancelled()) {
                answered = true;
                waiting.remove(this);
                emitter.fail(failure(code));
            }
        }
    }
}
