package org.baobabcart.router.upstream;

import io.vertx.core.MultiMap;
import java.util.Optional;
import org.baobabcart.policy.retry.FailureKind;

/**
 * Interprets response heads of upstreams that share one HTTP interface: whether the response belongs to the attempt,
 * and whether the upstream ran the request. Thread-safe.
 */
public interface ResponseRules {
    /** Returns why the response cannot be accepted for the request, or empty if it can. */
    Optional<FailureKind> failureOf(UpstreamRequest request, int status, MultiMap headers);

    /** Returns the availability that the upstream announces in the response head. */
    UpstreamNotice noticeOf(int status, MultiMap headers);

    /** Returns what the response to a health check announces. */
    default UpstreamNotice healthNoticeOf(int status, MultiMap headers) {
        return UpstreamNotice.none();
    }

    /** Returns whether a response tells that another upstream than the named one has sent it. */
    boolean isFromAnother(String upstream, MultiMap headers);

    /** Returns whether a response names the request that it belongs to. */
    boolean namesRequest(MultiMap headers);

    /** Returns what a response carries as a proof of its origin, shortened for logs; empty if upstreams send none. */
    Optional<String> proofOf(MultiMap headers);

    /** Returns the health check path; the upstream answers it with status 200 while it accepts requests. */
    String healthPath();
}
