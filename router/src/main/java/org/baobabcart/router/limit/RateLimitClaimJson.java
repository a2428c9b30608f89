package org.baobabcart.router.limit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.limit.RateLimitClaim;

/** The format in which claims on upstreams with a rate limit are stored. */
final class RateLimitClaimJson {
    private static final String INCARNATION = "incarnation";
    private static final String PER_SECOND = "perSecond";
    private static final String ROUTER = "router";
    private static final String PROCESS = "process";
    private static final String RENEWALS = "renewals";

    private RateLimitClaimJson() {}

    static JsonNode write(RateLimitClaim claim) {
        return JsonNodeFactory.instance
                .objectNode()
                .put(INCARNATION, claim.incarnation())
                .put(PER_SECOND, claim.perSecond())
                .put(ROUTER, claim.router())
                .put(PROCESS, claim.process())
                .put(RENEWALS, claim.renewals());
    }

    /**
     * Reads a stored claim.
     *
     * @throws BaobabcartException with {@code BAD_REQUEST} and the field's name if a field is missing or out of range
     */
    static RateLimitClaim read(JsonNode root) {
        JsonNode perSecond = root.path(PER_SECOND);
        if (!perSecond.isNumber() || !Double.isFinite(perSecond.asDouble()) || perSecond.asDouble() < 0) {
            throw invalid(PER_SECOND);
        }
        return new RateLimitClaim(
                integer(root, INCARNATION),
                perSecond.asDouble(),
                text(root, ROUTER),
                text(root, PROCESS),
                integer(root, RENEWALS));
    }

    private static long integer(JsonNode root, String field) {
        JsonNode value = root.path(field);
        if (!value.canConvertToExactIntegral() || !value.canConvertToLong() || value.asLong() < 0) {
            throw invalid(field);
        }
        return value.asLong();
    }

    private static String text(JsonNode root, String field) {
        if (!root.path(field).isTextual()) {
            throw invalid(field);
        }
        return root.path(field).asText();
    }

    private static BaobabcartException invalid(String field) {
        return BaobabcartException.of(ResultCode.BAD_REQUEST, "not a claim").withLocation(field);
    }
}
