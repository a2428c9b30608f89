package org.baobabcart.router.traffic;

import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.claim.ClaimService;

/** A gate that lets an attempt pass only while its claim is valid. Immutable. */
final class ClaimGate implements DispatchGate {
    private final ClaimService claims;
    private final String attemptId;

    private ClaimGate(ClaimService claims, String attemptId) {
        this.claims = claims;
        this.attemptId = attemptId;
    }

    static ClaimGate of(ClaimService claims, String attemptId) {
        return new ClaimGate(claims, attemptId);
    }

    @Override
    public void pass() {
        if (!claims.beginDispatch(attemptId)) {
            throw BaobabcartException.of(ResultCode.CLAIM_UNAVAILABLE);
        }
    }

    @Override
    public void notRun() {
        claims.cancelDispatch(attemptId);
    }
}
