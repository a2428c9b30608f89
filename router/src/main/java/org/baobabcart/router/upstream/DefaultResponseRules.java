package org.baobabcart.router.upstream;

import io.vertx.core.MultiMap;
import java.util.Optional;
import org.baobabcart.model.request.Headers;
import org.baobabcart.model.request.RetryAfter;
import org.baobabcart.policy.retry.FailureKind;

/** The rules for engines and plain services that use the router's own headers. Thread-safe. */
final class DefaultResponseRules implements ResponseRules {
    private static final int STATUS_CONFLICT = 409;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final String RETRY_AFTER = "Retry-After";
    private static final String NOT_RUN_HEADER = "Baobabcart-Not-Run";

    @Override
    public Optional<FailureKind> failureOf(UpstreamRequest request, int status, MultiMap headers) {
        String echoed = headers.get(Headers.ATTEMPT_ID);
        boolean missing = echoed == null && request.echoRequired();
        // A head that was joined from two responses has the ids of both.
        boolean ambiguous = headers.getAll(Headers.ATTEMPT_ID).size() > 1;
        boolean mismatched = echoed != null && !echoed.equals(request.attemptId());
        if (missing || ambiguous || mismatched) {
            return Optional.of(FailureKind.CROSSED);
        }
        // On a connection that has carried other requests, a refusal without an id may be an earlier one written once
        // more.
        boolean unattributed = echoed == null && request.repeatable();
        boolean declaredNotRun =
                !unattributed && status == STATUS_UNAVAILABLE && Boolean.parseBoolean(headers.get(NOT_RUN_HEADER));
        boolean refusedByEngine = status == STATUS_CONFLICT && request.echoRequired();
        return declaredNotRun || refusedByEngine ? Optional.of(FailureKind.NOT_RUN) : Optional.empty();
    }

    @Override
    public UpstreamNotice noticeOf(int status, MultiMap headers) {
        return status == STATUS_UNAVAILABLE
                ? new UpstreamNotice(false, RetryAfter.parse(headers.get(RETRY_AFTER)), RateLimitNotice.unknown())
                : UpstreamNotice.none();
    }

    @Override
    public boolean isFromAnother(String upstream, MultiMap headers) {
        return false;
    }

    @Override
    public boolean namesRequest(MultiMap headers) {
        return headers.contains(Headers.ATTEMPT_ID);
    }

    @Override
    public Optional<String> proofOf(MultiMap headers) {
        return Optional.empty();
    }

    @Override
    public String healthPath() {
        return "/health";
    }
}
