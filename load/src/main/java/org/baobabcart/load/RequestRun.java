package org.baobabcart.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.baobabcart.model.request.Headers;

/**
 * Sends a planned request, including its retries, and records the result. Confined to the event loop of the current
 * connection. Only the first outcome is recorded.
 */
final class RequestRun {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String STREAM_END = "data: [DONE]";
    private static final String FIRST_CONTENT = "data: {";
    private static final int OK = 200;
    private static final int FIRST_FAILURE_STATUS = 300;

    private final Vertx vertx;
    private final HttpClient client;
    private final LoadSettings settings;
    private final PlannedRequest request;
    private final LoadRecorder recorder;
    private final Runnable onEnd;
    private final long plannedNanoTime;
    private final long origin;
    private Buffer body = Buffer.buffer();
    private long firstTokenNanoTime;
    private long lastTokenNanoTime;
    private int attempts;
    private boolean ended;

    private RequestRun(
            Vertx vertx,
            HttpClient client,
            LoadSettings settings,
            PlannedRequest request,
            long origin,
            LoadRecorder recorder,
            Runnable onEnd) {
        this.vertx = vertx;
        this.client = client;
        this.settings = settings;
        this.request = request;
        this.recorder = recorder;
        this.onEnd = onEnd;
        this.origin = origin;
        this.plannedNanoTime = origin + request.startNanos();
    }

    /** Sends a request and calls {@code onEnd} once when the request has ended. */
    static void start(
            Vertx vertx,
            HttpClient client,
            LoadSettings settings,
            PlannedRequest request,
            long origin,
            LoadRecorder recorder,
            Runnable onEnd) {
        new RequestRun(vertx, client, settings, request, origin, recorder, onEnd).send();
    }

    /**
     * Sends one attempt. The response callback is registered inside {@code compose}, before the request is sent: a
     * callback added on the caller's thread could miss a short response.
     */
    private void send() {
        attempts++;
        recorder.record(request, GroupRecorder::recordAttempt);
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setAbsoluteURI(request.target() + request.path())
                .setTimeout(remainingMillis());
        client.request(options)
                .compose(http -> sendBody(http).onSuccess(this::receive))
                .onFailure(failure -> end(outcomeOf(failure), failure.getClass().getSimpleName()));
    }

    private Future<HttpClientResponse> sendBody(HttpClientRequest http) {
        http.putHeader("Content-Type", "application/json")
                .putHeader("Authorization", "Bearer " + request.workspace().key())
                .putHeader(Headers.TIMEOUT_MILLIS, Long.toString(remainingMillis()));
        if (!request.rank().isEmpty()) {
            http.putHeader(Headers.RANK, request.rank());
        }
        if (!request.idempotencyKey().isEmpty()) {
            http.putHeader(Headers.IDEMPOTENCY_KEY, request.idempotencyKey());
        }
        http.idleTimeout(settings.timeout().toMillis());
        return http.send(request.body());
    }

    private void receive(HttpClientResponse response) {
        response.handler(this::onChunk);
        response.exceptionHandler(
                failure -> end(Outcome.BROKEN, failure.getClass().getSimpleName()));
        response.endHandler(ignored -> onResponseEnd(response));
    }

    private void onChunk(Buffer chunk) {
        long now = System.nanoTime();
        body.appendBuffer(chunk);
        boolean content =
                !settings.stream() || chunk.toString(StandardCharsets.UTF_8).contains(FIRST_CONTENT);
        if (!content) {
            return;
        }
        if (firstTokenNanoTime == 0) {
            firstTokenNanoTime = now;
        } else {
            long gap = now - lastTokenNanoTime;
            recorder.record(request, group -> group.recordTokenInterval(gap));
        }
        lastTokenNanoTime = now;
    }

    private void onResponseEnd(HttpClientResponse response) {
        if (response.statusCode() < OK || response.statusCode() >= FIRST_FAILURE_STATUS) {
            handleErrorResponse();
        } else if (isComplete()) {
            complete();
        } else {
            end(Outcome.BROKEN, "INCOMPLETE");
        }
    }

    private boolean isComplete() {
        String text = body.toString(StandardCharsets.UTF_8).strip();
        return settings.stream() ? text.endsWith(STREAM_END) : text.endsWith("}");
    }

    private void handleErrorResponse() {
        JsonNode error = errorOf(body);
        boolean notRun = "no".equals(error.path("ran").asText());
        long suggestedMillis = error.path("retry_after_ms").asLong(0);
        long retryMillis = settings.fixedRetry().isZero()
                ? suggestedMillis
                : settings.fixedRetry().toMillis();
        if (notRun && attempts <= settings.retries() && retryMillis > 0 && retryMillis < remainingMillis()) {
            body = Buffer.buffer();
            firstTokenNanoTime = 0;
            vertx.setTimer(retryMillis, ignored -> send());
            return;
        }
        end(notRun ? Outcome.REFUSED : Outcome.FAILED, error.path("name").asText("UNNAMED"));
    }

    private void complete() {
        if (ended) {
            return;
        }
        long now = System.nanoTime();
        recorder.record(
                request, group -> group.recordComplete(firstTokenNanoTime - plannedNanoTime, now - plannedNanoTime));
        recordEnd(now);
    }

    private void end(Outcome outcome, String code) {
        if (ended) {
            return;
        }
        recorder.record(request, group -> group.recordFailure(outcome, code));
        recordEnd(System.nanoTime());
    }

    private void recordEnd(long now) {
        ended = true;
        recorder.recordEnd(now - origin);
        onEnd.run();
    }

    private long remainingMillis() {
        long remaining = settings.timeout().toNanos() - (System.nanoTime() - plannedNanoTime);
        return Math.max(1, TimeUnit.NANOSECONDS.toMillis(remaining));
    }

    private static Outcome outcomeOf(Throwable failure) {
        return failure instanceof TimeoutException ? Outcome.TIMED_OUT : Outcome.FAILED;
    }

    private static JsonNode errorOf(Buffer body) {
        try {
            return MAPPER.readTree(body.toString(StandardCharsets.UTF_8)).path("error");
        } catch (JsonProcessingException exception) {
            return MAPPER.missingNode();
        }
    }
}
