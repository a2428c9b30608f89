package org.baobabcart.model.request;

/** Names of HTTP headers of the caller API and of requests to upstreams. */
public final class Headers {
    public static final String RANK = "Baobabcart-Rank";
    public static final String SESSION = "Baobabcart-Session";
    public static final String TIMEOUT_MILLIS = "Baobabcart-Timeout-Ms";
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";
    public static final String REQUEST_ID = "Baobabcart-Request-Id";
    public static final String MODEL = "Baobabcart-Model";
    public static final String VERSION = "Baobabcart-Version";
    /** Sent to upstreams only: the workspace of the request. */
    public static final String WORKSPACE = "Baobabcart-Workspace";
    /** Sent to upstreams only: the id of the attempt, by which a late response is not taken for that of another attempt. */
    public static final String ATTEMPT_ID = "Baobabcart-Attempt-Id";
    /** Sent to engines only: the priority; zero is the most urgent. */
    public static final String PRIORITY = "Baobabcart-Priority";
    /** Sent by engines: requests running and waiting, as {@code running/waiting/slots}. */
    public static final String LOAD = "Baobabcart-Load";

    private Headers() {}
}
