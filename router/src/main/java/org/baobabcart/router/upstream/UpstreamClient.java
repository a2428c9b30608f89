package org.baobabcart.router.upstream;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.baobabcart.model.platform.VirtualMachine;
import org.baobabcart.policy.retry.FailureKind;
import org.baobabcart.router.timeline.EventField;
import org.baobabcart.router.timeline.EventFields;
import org.baobabcart.router.timeline.Timeline;
import org.baobabcart.router.transport.BodyEnd;
import org.baobabcart.router.transport.BodyFraming;
import org.baobabcart.router.transport.BoundedHttpClient;
import org.baobabcart.router.transport.BoundedResponse;
import org.baobabcart.router.transport.ConnectionPool;
import org.baobabcart.router.transport.ConnectionUse;
import org.baobabcart.router.transport.Connections;
import org.baobabcart.router.transport.InterimResponses;
import org.baobabcart.router.transport.LateResponseException;
import org.baobabcart.router.transport.MalformedResponseException;

/** Sends attempts to upstreams over HTTP. Thread-safe; callbacks run on the caller's event loop. */
public final class UpstreamClient {
    private static final int STATUS_OK = 200;
    /** Responses to health checks are short. */
    private static final int MAX_HEALTH_RESPONSE_BYTES = 64 * 1024;

    private static final int HTTP_PORT = 80;
    private static final int HTTPS_PORT = 443;
    private static final String HTTPS = "https";
    private static final Duration SILENCE_CHECK_PERIOD = Duration.ofMillis(100);

    private final Vertx vertx;
    private final UpstreamClientSettings settings;
    private final UpstreamNotices notices;
    private final UpstreamConnections connections;
    private final BoundedHttpClient healthCheckClient;
    private final ConnectProbe connectProbe;
    private final SilentUpstreamDetector silentUpstreams;
    private final Set<Attempt> running = ConcurrentHashMap.newKeySet();
    private final EnumCounters<BodyEnd> bodyEnds = EnumCounters.of(BodyEnd.class);
    private final LongAdder crossedResponses = new LongAdder();

    private UpstreamClient(Vertx vertx, UpstreamClientSettings settings, UpstreamNotices notices, Timeline timeline) {
        this.vertx = vertx;
        this.settings = settings;
        this.notices = notices;
        this.connections = UpstreamConnections.create(vertx, settings, timeline);
        this.healthCheckClient = BoundedHttpClient.create(
                vertx,
                UpstreamConnections.options(settings, false),
                UpstreamConnections.MAX_PER_UPSTREAM,
                MAX_HEALTH_RESPONSE_BYTES);
        this.connectProbe = ConnectProbe.create(vertx, settings.transport());
        this.silentUpstreams = SilentUpstreamDetector.create(settings.silenceTimeout(), this::isReachable);
        vertx.setPeriodic(SILENCE_CHECK_PERIOD.toMillis(), ignored -> silentUpstreams.check(System.nanoTime()));
    }

    /**
     * Creates a client without open connections.
     *
     * @param notices receives the notices that upstreams send in responses
     * @param timeline records data of upstreams that belongs to no response
     */
    public static UpstreamClient create(
            Vertx vertx, UpstreamClientSettings settings, UpstreamNotices notices, Timeline timeline) {
        return new UpstreamClient(vertx, settings, notices, timeline);
    }

    /** Returns the notices that upstreams have sent in responses. */
    public UpstreamNotices notices() {
        return notices;
    }

    /**
     * Registers counters of response bodies that ended with their connection, by the side that closed it, of data that
     * belonged to no response, and of responses that belonged to no request in progress.
     */
    public void registerMetrics(MetricRegistry metrics) {
        bodyEnds.register(metrics, "upstream.bodies", List.of(BodyEnd.CLOSED_BY_PEER, BodyEnd.CLOSED_BY_ROUTER));
        connections.registerMetrics(metrics);
        metrics.gauge("upstream.crossed-responses", () -> crossedResponses::sum);
    }

    /**
     * Sends a request; the result is the head of the response, or an {@link AttemptException}.
     *
     * @param choice the connections on which the request may be sent; one that is not repeatable is always sent on a new one
     * @param gate runs after the connection is established and before the first byte is sent; if it throws, nothing
     *     is sent and the result fails with that exception; receives the connection
     * @param abandoned fails the attempt and closes its connection
     */
    public Future<UpstreamResponse> send(
            VirtualMachine upstream,
            UpstreamRequest request,
            ConnectionChoice choice,
            Consumer<ConnectionUse> gate,
            Future<AttemptException> abandoned) {
        ConnectionPool pool = connections.reserve(upstream, choice.narrowedFor(request));
        return pool.request(options(upstream, request), Optional.of(request.attemptId()))
                .recover(cause ->
                        Future.failedFuture(AttemptException.of(FailureKind.NOT_CONNECTED, upstream.name(), cause)))
                .compose(opened -> passGate(opened, pool, gate))
                .compose(opened -> exchange(upstream, request, opened, pool, abandoned));
    }

    private RequestOptions options(VirtualMachine upstream, UpstreamRequest request) {
        URI address = URI.create(upstream.address());
        RequestOptions options = new RequestOptions()
                .setHost(address.getHost())
                .setPort(portOf(address))
                .setSsl(HTTPS.equals(address.getScheme()))
                .setURI(request.path())
                .setMethod(request.method())
                .setConnectTimeout(settings.connectTimeout().toMillis());
        request.headers().forEach(options::putHeader);
        return options;
    }

    private static int portOf(URI address) {
        if (address.getPort() >= 0) {
            return address.getPort();
        }
        return HTTPS.equals(address.getScheme()) ? HTTPS_PORT : HTTP_PORT;
    }

    /** Returns whether the upstream accepts new connections, on which nothing is sent. */
    public Future<Boolean> isReachable(VirtualMachine upstream) {
        URI address = URI.create(upstream.address());
        return connectProbe.isReachable(address.getHost(), portOf(address));
    }

    /** Returns when any part of a response last arrived from any upstream. */
    public long lastActivityNanos() {
        return silentUpstreams.lastActivityNanos();
    }

    /**
     * Checks the health of an upstream on a new connection.
     *
     * @param path the path of the health check; empty for the default of the response rules
     */
    public Future<HealthCheckResult> checkHealth(VirtualMachine upstream, String path, Duration timeout) {
        String healthPath = path.isEmpty() ? settings.rules().healthPath() : path;
        return healthCheckClient
                .call(HttpMethod.GET, upstream.address() + healthPath, timeout)
                .map(response -> resultOf(upstream, response))
                .otherwise(cause ->
                        cause instanceof LateResponseException ? HealthCheckResult.LATE : HealthCheckResult.FAILED);
    }

    private HealthCheckResult resultOf(VirtualMachine upstream, BoundedResponse response) {
        if (settings.rules().isFromAnother(upstream.name(), response.headers())) {
            notices.markReplaced(upstream, System.nanoTime());
            return HealthCheckResult.REPLACED;
        }
        notices.update(
                upstream, settings.rules().healthNoticeOf(response.status(), response.headers()), System.nanoTime());
        return response.status() == STATUS_OK ? HealthCheckResult.HEALTHY : HealthCheckResult.FAILED;
    }

    /**
     * Retires the kept connections of an upstream: no further request is sent on them, and each is closed when its
     * running request has ended.
     */
    public void retireConnections(String upstream) {
        connections.retire(upstream);
    }

    /** Fails the attempts at an upstream that has restarted, and retires its connections. */
    public void restarted(String upstream) {
        silentUpstreams.restarted(upstream);
        retireConnections(upstream);
    }

    /** Retires the connections of all upstreams but these, and removes notices that these sent before they restarted. */
    public void retainOnly(List<VirtualMachine> upstreams) {
        connections.retainOnly(upstreams.stream().map(VirtualMachine::name).collect(Collectors.toSet()));
        notices.removeStale(upstreams, System.nanoTime());
    }

    /** Fails the attempts that are still running, and closes all connections. */
    public Future<Void> close() {
        List<Future<Void>> failed = running.stream().map(Attempt::failForClose).toList();
        return Future.join(failed).transform(ignored -> connections.close());
    }

    private static Future<HttpClientRequest> passGate(
            HttpClientRequest opened, ConnectionPool pool, Consumer<ConnectionUse> gate) {
        try {
            gate.accept(pool.useOf(opened.connection()));
            return Future.succeededFuture(opened);
        } catch (RuntimeException refusal) {
            opened.connection().close();
            return Future.failedFuture(refusal);
        }
    }

    private Future<UpstreamResponse> exchange(
            VirtualMachine upstream,
            UpstreamRequest request,
            HttpClientRequest opened,
            ConnectionPool pool,
            Future<AttemptException> abandoned) {
        Context context = vertx.getOrCreateContext();
        Attempt attempt = new Attempt(upstream.name(), opened, pool.useOf(opened.connection()), context);
        running.add(attempt);
        attempt.result.future().onFailure(ignored -> running.remove(attempt));
        SilentUpstreamDetector.Registration registration = silentUpstreams.register(
                upstream,
                failure -> context.runOnContext(ignored -> attempt.fail(failure)),
                () -> request.repeatable() && request.replaceable().getAsBoolean());
        attempt.timer = ProgressTimer.create(
                vertx,
                registration,
                request.replaceable(),
                () -> attempt.fail(AttemptException.of(
                        attempt.response == null ? request.timeouts().firstByteFailure() : FailureKind.SILENT,
                        upstream.name(),
                        "no progress within the timeout")));
        attempt.timer.start(request.timeouts().firstByte());
        abandoned.onSuccess(attempt::fail);
        InterimResponses.limit(
                opened, failure -> attempt.fail(AttemptException.of(FailureKind.BROKEN, upstream.name(), failure)));
        opened.send(request.body()).onComplete(sent -> {
            if (sent.failed()) {
                attempt.fail(AttemptException.of(kindOf(sent.cause()), upstream.name(), sent.cause()));
                return;
            }
            attempt.timer.progress();
            attempt.response =
                    UpstreamResponse.create(upstream.name(), opened, sent.result(), attempt.timer, request.timeouts());
            attempt.response.describeHead(
                    attempt.connection, settings.rules().proofOf(sent.result().headers()));
            attempt.response.ended().onComplete(ignored -> {
                running.remove(attempt);
                attempt.response.bodyEnd().ifPresent(end -> bodyEnds.increment(end));
                pool.release(opened.connection());
            });
            if (!settings.rules().namesRequest(sent.result().headers())) {
                // A second copy of this response could not be told from the response to the next request.
                pool.retire(opened.connection());
            }
            accept(upstream, request, sent.result(), attempt);
        });
        return attempt.result.future();
    }

    private FailureKind kindOf(Throwable cause) {
        if (cause instanceof MalformedResponseException) {
            crossedResponses.increment();
            return FailureKind.CROSSED;
        }
        return FailureKind.BROKEN;
    }

    private void accept(
            VirtualMachine upstream, UpstreamRequest request, HttpClientResponse response, Attempt attempt) {
        if (attempt.response.framing() == BodyFraming.UNSUPPORTED) {
            attempt.fail(
                    AttemptException.of(FailureKind.INCOMPLETE, attempt.upstream, BodyEnd.UNDECODABLE.description()));
            return;
        }
        UpstreamNotice notice = settings.rules().noticeOf(response.statusCode(), response.headers());
        Optional<FailureKind> failure = settings.rules().failureOf(request, response.statusCode(), response.headers());
        notices.update(upstream, notice, System.nanoTime());
        boolean isOwnResponse =
                failure.filter(kind -> kind != FailureKind.NOT_RUN).isEmpty();
        // A response to an earlier request may be older than the limit that it does not name.
        if (isOwnResponse || notice.rateLimit().kind() == RateLimitNotice.Kind.LIMITED) {
            notices.rateLimits().update(upstream, notice.rateLimit(), attempt.sentNanos, System.nanoTime());
        }
        if (failure.isEmpty()) {
            attempt.result.tryComplete(attempt.response);
        } else {
            if (failure.get() == FailureKind.CROSSED) {
                crossedResponses.increment();
            }
            attempt.fail(AttemptException.of(
                    failure.get(),
                    attempt.upstream,
                    "status " + response.statusCode() + " on connection " + attempt.connection.connection()));
        }
    }

    /** An attempt from its first byte sent to the head of its response. Confined to one event loop. */
    private static final class Attempt {
        private final String upstream;
        private final HttpClientRequest opened;
        private final ConnectionUse connection;
        private final Context context;
        private final long sentNanos = System.nanoTime();
        private final Promise<UpstreamResponse> result = Promise.promise();
        private ProgressTimer timer;
        private UpstreamResponse response;

        private Attempt(String upstream, HttpClientRequest opened, ConnectionUse connection, Context context) {
            this.upstream = upstream;
            this.opened = opened;
            this.connection = connection;
            this.context = context;
        }

        /** Fails the attempt from any thread, because the client closes. */
        private Future<Void> failForClose() {
            Promise<Void> done = Promise.promise();
            context.runOnContext(ignored -> {
                fail(AttemptException.of(FailureKind.BROKEN, upstream, "the router closes its connections"));
                done.complete();
            });
            return done.future();
        }

        private void fail(AttemptException failure) {
            timer.end();
            boolean open = result.tryFail(failure.withAnswer(describe()));
            if (response != null) {
                response.fail(failure);
            } else if (open) {
                Connections.abort(opened.connection());
            }
        }

        private EventFields describe() {
            return response == null
                    ? EventFields.of(EventField.CONNECTION, connection.connection())
                    : response.describe();
        }
    }
}
