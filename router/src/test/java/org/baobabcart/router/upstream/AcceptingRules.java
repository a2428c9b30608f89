package org.baobabcart.router.upstream;

import io.vertx.core.MultiMap;
import java.util.Optional;
import org.baobabcart.policy.retry.FailureKind;

/** Accepts each response. */
public final class AcceptingRules implements ResponseRules {
    @Override
    public Optional<FailureKind> failureOf(UpstreamRequest request, int status, MultiMap headers) {
        return Optional.empty();
    }

    @Override
    public UpstreamNotice noticeOf(int status, MultiMap headers) {
        return UpstreamNotice.none();
    }

    @Override
    public boolean isFromAnother(String upstream, MultiMap headers) {
        return false;
    }

    @Override
    public boolean namesRequest(MultiMap headers) {
        return true;
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
