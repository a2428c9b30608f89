package org.baobabcart.standins.base;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.Deque;
import org.baobabcart.model.request.Headers;

/**
 * Log of the requests that an upstream started, with which tests check what was really run. Confined to the event loop.
 */
public final class RunLog {
    private static final int MAX_RUNS = 200_000;

    private final Deque<Run> runs = new ArrayDeque<>();

    /** Adds a request that starts now. */
    public Run begin(HttpServerRequest request, String version) {
        Run run = new Run(request, version);
        runs.addLast(run);
        if (runs.size() > MAX_RUNS) {
            runs.removeFirst();
        }
        return run;
    }

    /** Returns the number of runs in the log. */
    public int size() {
        return runs.size();
    }

    /** Returns the runs as JSON, oldest first. */
    public JsonArray toJson() {
        JsonArray array = new JsonArray();
        runs.forEach(run -> array.add(run.toJson()));
        return array;
    }

    /** A request that was started. Confined to the event loop. */
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

        /** Marks the request as completely processed. */
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
