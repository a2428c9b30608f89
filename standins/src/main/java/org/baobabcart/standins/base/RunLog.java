package org.baobabcart.standins.base;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.Deque;
import org.baobabcart.model.request.Headers;

/** The list of requests that an upstream began, by which checks see what really ran. Confined to the event loop. */
public final class RunLog {
    private static final int MAXIMUM_RUNS = 200_000;

    private final Deque<Run> runs = new ArrayDeque<>();

    /** Lists a request that begins now. */
    public Run begin(HttpServerRequest request, String version) {
        Run run = new Run(request, version);
        runs.addLast(run);
        if (runs.size() > MAXIMUM_RUNS) {
            runs.removeFirst();
        }
        return run;
    }

    /** The number of runs listed. */
    public int size() {
        return runs.size();
    }

    /** The runs as JSON, the oldest first. */
    public JsonArray toJson() {
        JsonArray array = new JsonArray();
        runs.forEach(run -> array.add(run.toJson()));
        return array;
    }

    /** One request that was begun. Confined to the event loop. */
    public static final class Run {
        private final String requestId;
        private final String attemptId;
        private final String workspace;
        private final String version;
        private final String idempotencyKey;
        private final long startedAtMillis;
        private boolean finished;

        private Run(HttpServerRequest request, String version) {
            this.requestId = header(request, Headers.REQUEST_ID);
            this.attemptId = header(request, Headers.ATTEMPT_ID);
            this.workspace = header(request, Headers.WORKSPACE);
            this.idempotencyKey = header(request, Headers.IDEMPOTENCY_KEY);
            this.version = version;
            this.startedAtMillis = System.currentTimeMillis();
        }

        /** Marks the request as worked off to its end. */
        public void finish() {
            finished = true;
        }

        private JsonObject toJson() {
            return new JsonObject()
                    .put("requestId", requestId)
                    .put("attemptId", attemptId)
                    .put("workspace", workspace)
                    .put("version", version)
                    .put("idempotencyKey", idempotencyKey)
                    .put("startedAt", startedAtMillis)
                    .put("finished", finished);
        }

        private static String header(HttpServerRequest request, String name) {
            String value = request.getHeader(name);
            return value == null ? "" : value;
        }
    }
}
