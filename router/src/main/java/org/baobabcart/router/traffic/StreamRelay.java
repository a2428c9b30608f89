package org.baobabcart.router.traffic;

import com.fasterxml.jackson.databind.JsonNode;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.router.exchange.CallerExchange;
import org.baobabcart.router.upstream.AttemptException;
import org.baobabcart.router.upstream.EventReader;
import org.baobabcart.router.upstream.UpstreamAnswer;

/**
 * Reads a streamed answer event by event and passes each on at once, or keeps them. Confined to one event loop.
 *
 * <p>The closing event is never passed on from here: whoever called decides when the answer is complete.
 */
final class StreamRelay {
    private static final String USAGE_FIELD = "\"usage\"";

    private final ModelRequest request;
    private final UpstreamAnswer answer;
    private final Optional<CallerExchange> direct;
    private final Runnable beforeFirst;
    private final TrafficRuntime runtime;
    private final List<Buffer> kept = new ArrayList<>();
    private final StringBuilder text = new StringBuilder();
    private final Promise<Void> done = Promise.promise();
    private boolean begun;
    private long reportedUnits;
    private long events;

    private StreamRelay(
            TrafficRuntime runtime,
            ModelRequest request,
            UpstreamAnswer answer,
            Optional<CallerExchange> direct,
            Runnable beforeFirst) {
        this.runtime = runtime;
        this.request = request;
        this.answer = answer;
        this.direct = direct;
        this.beforeFirst = beforeFirst;
    }

    /**
     * A relay of one answer.
     *
     * @param direct where each event goes at once; empty to keep the events
     * @param beforeFirst runs before the first event is passed on
     */
    static StreamRelay create(
            TrafficRuntime runtime,
            ModelRequest request,
            UpstreamAnswer answer,
            Optional<CallerExchange> direct,
            Runnable beforeFirst) {
        return new StreamRelay(runtime, request, answer, direct, beforeFirst);
    }

    /** Completes when the closing event has arrived; fails where the answer ends without it. */
    Future<Void> run() {
        EventReader reader = EventReader.create(this::event);
        answer.forEachStep(part -> {
                    long before = events;
                    reader.read(part);
                    checkSize(reader);
                    slowDown();
                    return events > before;
                })
                .onFailure(done::tryFail)
                .onSuccess(ignored -> done.tryFail(
                        AttemptException.of(FailureKind.INCOMPLETE, answer.upstream(), "no closing event")));
        return done.future();
    }

    /** The events that were kept. */
    List<Buffer> kept() {
        return kept;
    }

    /** The text of all events. */
    String text() {
        return text.toString();
    }

    /** The tokens to bill: as reported, or one an event where the answer has not told yet. */
    long units() {
        return reportedUnits > 0 ? reportedUnits : events;
    }

    private void event(Buffer event) {
        if (done.future().isComplete()) {
            return;
        }
        String data = EventReader.data(event);
        if (EventReader.isDone(data)) {
            done.tryComplete();
            return;
        }
        Optional<JsonNode> json = AnswerText.parse(data.getBytes(StandardCharsets.UTF_8));
        if (json.filter(node -> node.has("error")).isPresent()) {
            answer.fail(AttemptException.of(FailureKind.FAILED, answer.upstream(), "error event"));
            return;
        }
        json.ifPresent(node -> text.append(AnswerText.text(node)));
        if (data.contains(USAGE_FIELD)) {
            json.ifPresent(node -> reportedUnits = Math.max(reportedUnits, AnswerText.tokens(node)));
        }
        if (json.isPresent() && (request.wantsUsage() || !isUsageOnly(json.get()))) {
            events++;
            pass(event);
        }
    }

    private static boolean isUsageOnly(JsonNode node) {
        return node.path("choices").isEmpty() && node.has("usage");
    }

    private void pass(Buffer event) {
        if (direct.isEmpty()) {
            kept.add(event);
            return;
        }
        if (!begun) {
            begun = true;
            beforeFirst.run();
        }
        direct.get().write(event);
    }

    private void checkSize(EventReader reader) {
        int limit = runtime.settings().limits().answerBytes();
        if (reader.pendingBytes() > limit || text.length() > limit) {
            answer.fail(AttemptException.of(FailureKind.INCOMPLETE, answer.upstream(), "answer larger than the limit"));
        }
    }

    private void slowDown() {
        if (direct.isEmpty() || done.future().isComplete()) {
            return;
        }
        direct.get().applyBackpressure(answer);
    }
}
