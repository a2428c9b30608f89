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
import org.baobabcart.router.upstream.ServerSentEventReader;
import org.baobabcart.router.upstream.UpstreamResponse;

/**
 * Reads a streamed response event by event, and either passes each event on immediately or buffers them. Confined to
 * one event loop.
 *
 * <p>The closing event is never passed on; the caller of this class decides when the response is complete.
 */
final class StreamRelay {
    private static final String USAGE_FIELD = "\"usage\"";

    private final ModelRequest request;
    private final UpstreamResponse response;
    private final Optional<CallerExchange> direct;
    private final Runnable beforeFirst;
    private final TrafficRuntime runtime;
    private final List<Buffer> buffered = new ArrayList<>();
    private final StringBuilder text = new StringBuilder();
    private final Promise<Void> completion = Promise.promise();
    private boolean started;
    private long reportedUnits;
    private long eventCount;

    private StreamRelay(
            TrafficRuntime runtime,
            ModelRequest request,
            UpstreamResponse response,
            Optional<CallerExchange> direct,
            Runnable beforeFirst) {
        this.runtime = runtime;
        this.request = request;
        this.response = response;
        this.direct = direct;
        this.beforeFirst = beforeFirst;
    }

    /**
     * Creates a relay of one response.
     *
     * @param direct the exchange that receives each event immediately; empty to buffer the events
     * @param beforeFirst runs before the first event is passed on
     */
    static StreamRelay create(
            TrafficRuntime runtime,
            ModelRequest request,
            UpstreamResponse response,
            Optional<CallerExchange> direct,
            Runnable beforeFirst) {
        return new StreamRelay(runtime, request, response, direct, beforeFirst);
    }

    /** Completes when the closing event has arrived; fails if the response ends without it. */
    Future<Void> run() {
        ServerSentEventReader reader = ServerSentEventReader.create(this::onEvent);
        response.forEachChunkWithProgress(chunk -> {
                    long before = eventCount;
                    reader.read(chunk);
                    checkSize(reader);
                    applyBackpressure();
                    return eventCount > before;
                })
                .onFailure(completion::tryFail)
                .onSuccess(ignored -> completion.tryFail(AttemptException.of(
                        FailureKind.INCOMPLETE, response.upstream(), "stream ended without a closing event")));
        return completion.future();
    }

    /** Returns the buffered events. */
    List<Buffer> buffered() {
        return buffered;
    }

    /** Returns the text of all events. */
    String text() {
        return text.toString();
    }

    /** Returns the tokens to bill: the reported usage, or the number of events if no usage was reported yet. */
    long units() {
        return reportedUnits > 0 ? reportedUnits : eventCount;
    }

    /** Returns the number of events that were passed on or buffered. */
    long events() {
        return eventCount;
    }

    private void onEvent(Buffer event) {
        if (completion.future().isComplete()) {
            return;
        }
        String data = ServerSentEventReader.data(event);
        if (ServerSentEventReader.isDone(data)) {
            completion.tryComplete();
            return;
        }
        Optional<JsonNode> json = CompletionJson.parse(data.getBytes(StandardCharsets.UTF_8));
        if (json.filter(node -> node.has("error")).isPresent()) {
            response.fail(
                    AttemptException.of(FailureKind.FAILED, response.upstream(), "the upstream sent an error event"));
            return;
        }
        json.ifPresent(node -> text.append(CompletionJson.text(node)));
        if (data.contains(USAGE_FIELD)) {
            json.ifPresent(node -> reportedUnits = Math.max(reportedUnits, CompletionJson.totalTokens(node)));
        }
        if (json.isPresent() && (request.wantsUsage() || !isUsageOnly(json.get()))) {
            eventCount++;
            forward(event);
        }
    }

    private static boolean isUsageOnly(JsonNode node) {
        return node.path("choices").isEmpty() && node.has("usage");
    }

    private void forward(Buffer event) {
        if (direct.isEmpty()) {
            buffered.add(event);
            return;
        }
        if (!started) {
            started = true;
            beforeFirst.run();
        }
        direct.get().write(event);
    }

    private void checkSize(ServerSentEventReader reader) {
        int limit = runtime.settings().limits().responseBytes();
        if (reader.pendingBytes() > limit || text.length() > limit) {
            response.fail(AttemptException.of(
                    FailureKind.INCOMPLETE, response.upstream(), "response exceeds the size limit"));
        }
    }

    private void applyBackpressure() {
        if (direct.isEmpty() || completion.future().isComplete()) {
            return;
        }
        direct.get().applyBackpressure(response);
    }
}
