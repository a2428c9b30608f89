package org.baobabcart.model.result;

/**
 * Numbered result codes of requests and commands. The table in {@code docs/CODES.md} lists the same entries.
 *
 * <p>Codes 10xx concern the request itself, 11xx permissions, 12xx capacity, 13xx upstreams, 14xx idempotency, 15xx the
 * platform and 16xx commands and settings. Immutable and thread-safe.
 */
public enum ResultCode {
    /** The request body is not valid JSON or lacks a required field. */
    BAD_REQUEST(1001, 400, Ran.NO, "The request is malformed"),
    /** The request body is larger than the router accepts. */
    BODY_TOO_LARGE(1002, 413, Ran.NO, "The request body is larger than the limit"),
    /** The request line or headers are larger than the router accepts. */
    HEADERS_TOO_LARGE(1003, 431, Ran.NO, "The request headers are larger than the limit"),
    /** The request did not arrive completely in time. */
    REQUEST_TIMEOUT(1004, 408, Ran.NO, "The request did not arrive completely in time"),
    /** The rank in the header is not in the sheet. */
    UNKNOWN_RANK(1005, 400, Ran.NO, "The rank is not in the sheet"),
    /** The path is not served. */
    UNKNOWN_PATH(1006, 404, Ran.NO, "Nothing is served at this path"),
    /** The method is not served at this path. */
    METHOD_NOT_ALLOWED(1007, 405, Ran.NO, "The method is not served at this path"),
    /** A header has a value that cannot be used. */
    BAD_HEADER(1008, 400, Ran.NO, "A header has a value that cannot be used"),
    /** The key is missing or belongs to no workspace. */
    UNKNOWN_KEY(1101, 401, Ran.NO, "The key belongs to no workspace"),
    /** The workspace may not use the model or version. */
    MODEL_NOT_ALLOWED(1102, 403, Ran.NO, "The workspace may not use this model or version"),
    /** The model or version is not in the sheet. */
    UNKNOWN_MODEL(1103, 404, Ran.NO, "The model or version is not in the sheet"),
    /** The version has been withdrawn. */
    VERSION_WITHDRAWN(1104, 410, Ran.NO, "The version has been withdrawn"),
    /** The workspace may not use the service. */
    SERVICE_NOT_ALLOWED(1105, 403, Ran.NO, "The workspace may not use this service"),
    /** The service is not in the sheet. */
    UNKNOWN_SERVICE(1106, 404, Ran.NO, "The service is not in the sheet"),
    /** The session token is forged, damaged or belongs to another workspace. */
    BAD_SESSION(1107, 400, Ran.NO, "The session token is not valid for this workspace"),
    /** The queue of the rank or workspace is full. */
    QUEUE_FULL(1201, 429, Ran.NO, "Too many requests are waiting"),
    /** The request cannot be finished before its deadline. */
    DEADLINE_UNREACHABLE(1202, 503, Ran.NO, "The request cannot be finished before its deadline"),
    /** Requests of this rank are rejected so that more urgent ones are served. */
    RANK_SHED(1203, 503, Ran.NO, "Work of this rank is refused for now"),
    /** The router is stopping. */
    STOPPING(1204, 503, Ran.NO, "The router is stopping"),
    /** The router has no sheet yet. */
    NOT_READY(1205, 503, Ran.NO, "The router has no sheet yet"),
    /** No upstream serves the model, version or service. */
    NO_UPSTREAM(1301, 503, Ran.NO, "No upstream serves this for now"),
    /** No upstream could be reached. */
    UPSTREAM_UNREACHABLE(1302, 503, Ran.NO, "The upstream could not be reached"),
    /** The upstream failed after it had received the request. */
    UPSTREAM_FAILED(1303, 502, Ran.UNKNOWN, "The upstream failed while it ran the request"),
    /** The upstream made no progress in time. */
    UPSTREAM_TIMEOUT(1304, 504, Ran.UNKNOWN, "The upstream made no progress in time"),
    /** The request has crashed upstreams before and is not sent to another. */
    REQUEST_QUARANTINED(1305, 422, Ran.NO, "This request has crashed upstreams and is not run again"),
    /** The response ended early after its first part had been forwarded. */
    ANSWER_INCOMPLETE(1306, 502, Ran.UNKNOWN, "The answer broke off"),
    /** The caller disconnected before its response was complete. */
    CALLER_GONE(1307, 499, Ran.UNKNOWN, "The caller went away"),
    /** The request may be the one that crashed an upstream and could not be tried in time. */
    REQUEST_SUSPECT(1308, 503, Ran.NO, "This request may have crashed an upstream and could not be tried in time"),
    /** The call needs an idempotency key. */
    KEY_REQUIRED(1401, 400, Ran.NO, "This call needs an Idempotency-Key header"),
    /** The idempotency key was used before, and the outcome of that call is unknown. */
    OUTCOME_UNKNOWN(1402, 409, Ran.UNKNOWN, "A call with this key may have run; its outcome is not known"),
    /** A call with the same idempotency key is still running. */
    KEY_IN_PROGRESS(1403, 409, Ran.UNKNOWN, "A call with this key is still running"),
    /** The idempotency key was used before for a different call. */
    KEY_REUSED(1404, 422, Ran.NO, "This key was used for a different call"),
    /** The claim of the idempotency key could not be stored, so that nothing was sent. */
    CLAIM_UNAVAILABLE(1405, 503, Ran.NO, "The key could not be claimed for now; nothing was sent"),
    /** The platform cannot be reached. */
    PLATFORM_UNAVAILABLE(1501, 503, Ran.NO, "The platform cannot be reached"),
    /** A conditional update found a newer version. */
    CONFLICT(1502, 409, Ran.NO, "The object has changed since it was read"),
    /** The object does not exist. */
    NOT_FOUND(1503, 404, Ran.NO, "The object does not exist"),
    /** The resource version from which a watch should continue is no longer available. */
    WATCH_EXPIRED(1504, 410, Ran.NO, "The watch position is too old"),
    /** The response to a write was lost, and the write may have taken effect. */
    WRITE_OUTCOME_UNKNOWN(1505, 504, Ran.UNKNOWN, "The write may have taken effect"),
    /** The platform responded, and its response cannot be decoded. */
    RESPONSE_UNREADABLE(1506, 502, Ran.UNKNOWN, "The platform's response cannot be decoded"),
    /** The sheet is invalid. */
    SHEET_INVALID(1601, 422, Ran.NO, "The sheet has faults"),
    /** A setting has a value that cannot be used. */
    BAD_SETTING(1602, 400, Ran.NO, "A setting has a value that cannot be used"),
    /** A command did not finish in time. */
    COMMAND_TIMEOUT(1603, 504, Ran.UNKNOWN, "The command did not finish in time"),
    /** An unexpected internal error. */
    INTERNAL(1901, 500, Ran.UNKNOWN, "An unexpected fault occurred");

    private final int number;
    private final int httpStatus;
    private final Ran ran;
    private final String summary;

    ResultCode(int number, int httpStatus, Ran ran, String summary) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.ran = ran;
        this.summary = summary;
    }

    /** Returns the stable number that is reported to callers and operators. */
    public int number() {
        return number;
    }

    /** Returns the HTTP status of responses with this code. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns the default for whether an upstream may have received the request; an error may override it. */
    public Ran ran() {
        return ran;
    }

    /** Returns a readable summary without details about an occurrence. */
    public String summary() {
        return summary;
    }
}
