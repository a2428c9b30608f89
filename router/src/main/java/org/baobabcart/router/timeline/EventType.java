package org.baobabcart.router.timeline;

import java.util.List;

/**
 * The types of events on the time line, each with its description and its fields. {@code docs/EVENTS.md} lists them.
 */
public enum EventType {
    PROCESS_STARTED("the process has begun to open its ports", EventField.NAME),
    PROCESS_READY("the process takes requests", EventField.GENERATION),
    PROCESS_STOPPING("a planned stop has begun", EventField.RUNNING),
    PROCESS_STOPPED("a planned stop has ended", EventField.RUNNING),
    SETTINGS_RELOADED("the settings file was read again", EventField.FILE, EventField.CHANGE),
    SHEET_APPLIED(
            "a sheet or table of routes is in force",
            EventField.GENERATION,
            EventField.NAME,
            EventField.ROUTES,
            EventField.RESOURCE_VERSION,
            EventField.SOURCE),
    SHEET_PUT_ASIDE(
            "a table of routes was not taken; the one in force stays",
            EventField.GENERATION,
            EventField.NAME,
            EventField.CAUSE),
    ROLL_OUT_CHANGED(
            "a roll-out was seen, moved on, stopped or ended",
            EventField.GENERATION,
            EventField.WITHDRAWALS,
            EventField.SOURCE,
            EventField.SERVICE,
            EventField.TARGET,
            EventField.STATE,
            EventField.CHANGE,
            EventField.CAUSE),
    SESSION_KEYS_APPLIED("signing keys are in force", EventField.KEYS, EventField.SOURCE),
    MEMBER_CHANGED(
            "another router is known, suspected or gone", EventField.MEMBER, EventField.STATE, EventField.INCARNATION),
    RELAY_CHANGED(
            "this router follows the store for others, or by another one, or no longer",
            EventField.MEMBER,
            EventField.STATE,
            EventField.CAUSE),
    UPSTREAM_CHANGED(
            "an upstream is known, leaving, started anew, cold or gone",
            EventField.UPSTREAM,
            EventField.STATE,
            EventField.SERVICE,
            EventField.VERSION,
            EventField.CHANGE),
    UPSTREAM_SUSPECTED("an upstream is passed over until a health check succeeds", EventField.UPSTREAM),
    ISOLATION_CHANGED(
            "all upstreams are out of this router's reach, which is not ready then, or one is within reach again",
            EventField.STATE,
            EventField.UPSTREAMS),
    UPSTREAM_BACK("a health check of an upstream that was passed over has succeeded", EventField.UPSTREAM),
    DATA_CENTRE_CHANGED(
            "the operator's order on a data centre was learned, renewed or taken back",
            EventField.DATA_CENTRE,
            EventField.STATE,
            EventField.SINCE,
            EventField.RESOURCE_VERSION,
            EventField.UPSTREAMS,
            EventField.RUNNING),
    DEPENDENCY_LOST(
            "a kind of objects in the store cannot be followed; what is known stays",
            EventField.NAME,
            EventField.CAUSE),
    DEPENDENCY_FOUND("a kind of objects in the store is followed again", EventField.NAME, EventField.CAUSE),
    OBJECT_IGNORED(
            "a version of an object in the store cannot be decoded; the last valid one stays in force",
            EventField.NAME,
            EventField.OBJECT,
            EventField.RESOURCE_VERSION,
            EventField.CAUSE),
    WATCH_EXPIRED(
            "the store no longer keeps the changes since the last answer; all is read anew",
            EventField.NAME,
            EventField.CAUSE),
    STORE_ERA_CHANGED(
            "the store has come back from an older copy; all is read anew", EventField.ERA, EventField.EARLIER_ERA),
    PLATFORM_LOST("the platform's store does not answer"),
    PLATFORM_FOUND("the platform's store answers"),
    REQUEST_RECEIVED(
            "the head of a request was read",
            EventField.METHOD,
            EventField.PATH,
            EventField.ROUTE,
            EventField.RANK,
            EventField.WORKSPACE,
            EventField.DEADLINE_MS,
            EventField.GENERATION),
    REQUEST_REFUSED(
            "the caller was told that its request has not run",
            EventField.CODE,
            EventField.RESULT,
            EventField.RAN,
            EventField.RETRY_AFTER_MS,
            EventField.TOOK_MS,
            EventField.CAUSE,
            EventField.GENERATION),
    REQUEST_QUEUED(
            "the request waits for an upstream",
            EventField.SERVICE,
            EventField.WAITING,
            EventField.DEADLINE_MS,
            EventField.GENERATION),
    REQUEST_DISPATCHED(
            "an attempt is sent",
            EventField.UPSTREAM,
            EventField.ATTEMPT,
            EventField.WAITED_MS,
            EventField.DEADLINE_MS,
            EventField.BODY_BYTES,
            EventField.CONNECTION,
            EventField.CARRIED,
            EventField.GENERATION),
    ATTEMPT_FAILED(
            "an attempt ended without its whole answer",
            EventField.UPSTREAM,
            EventField.ATTEMPT,
            EventField.FAILURE,
            EventField.CAUSE,
            EventField.ANSWER_BEGUN,
            EventField.CONNECTION,
            EventField.UPSTREAM_STATUS,
            EventField.UPSTREAM_LENGTH,
            EventField.PROOF,
            EventField.FRAMING,
            EventField.BODY_END,
            EventField.PARTS),
    UNEXPECTED_DATA(
            "an upstream sent bytes that belong to no answer",
            EventField.UPSTREAM,
            EventField.CONNECTION,
            EventField.CARRIED,
            EventField.CAUSE,
            EventField.BYTES),
    UPSTREAM_PROBED(
            "an upstream was asked for its health on a new connection, after an attempt at it broke or stalled",
            EventField.UPSTREAM,
            EventField.REACHABLE),
    REQUEST_RETRIED("the request is queued again after a failed attempt", EventField.FAILURE, EventField.TRIED),
    REQUEST_ESCALATED(
            "whether a larger model is asked after a smaller one's answer",
            EventField.MODEL,
            EventField.CONFIDENCE,
            EventField.PRESSURE,
            EventField.CROWDING,
            EventField.PROMPT_TOKENS,
            EventField.ESCALATED),
    DEPARTURE_CHANGED(
            "requests begin to leave the data centre, or none do any more", EventField.SERVICE, EventField.STATE),
    NOTE("a message of a part of the program", EventField.SOURCE, EventField.STATE, EventField.CAUSE),
    REQUEST_FINISHED(
            "the caller has a whole answer",
            EventField.CONNECTION,
            EventField.UPSTREAM_STATUS,
            EventField.UPSTREAM_LENGTH,
            EventField.PROOF,
            EventField.FRAMING,
            EventField.BODY_END,
            EventField.EVENTS,
            EventField.LAST_EVENT,
            EventField.STATUS,
            EventField.ANSWER_BYTES,
            EventField.FIRST_BYTE_MS,
            EventField.TOOK_MS),
    REQUEST_FAILED(
            "the caller was told of a failure, or its answer was broken off",
            EventField.CODE,
            EventField.RESULT,
            EventField.RAN,
            EventField.RETRY_AFTER_MS,
            EventField.TOOK_MS,
            EventField.CAUSE,
            EventField.GENERATION),
    REQUEST_CANCELLED(
            "the caller left before its answer was whole", EventField.CODE, EventField.TOOK_MS, EventField.CAUSE),
    CLAIM_GRANTED("an idempotency key was claimed", EventField.ATTEMPT_ID),
    CLAIM_REFUSED("an idempotency key could not be claimed", EventField.ATTEMPT_ID, EventField.RESULT),
    CLAIM_SETTLED("the outcome of a claimed attempt is stored", EventField.ATTEMPT_ID, EventField.OUTCOME),
    BILL_HELD("another router or the platform holds the bill", EventField.HOLDER),
    BILL_COMMITTED("a segment of bills is in the platform", EventField.SEGMENT, EventField.BILLS),
    FINGERPRINT_QUARANTINED(
            "requests with these keys in common crash upstreams and are not sent, or are sent again",
            EventField.FINGERPRINT,
            EventField.CHANGE,
            EventField.WEIGHT),
    LEASE_CHANGED(
            "the lease on the orders of a data centre was taken, renewed or lost",
            EventField.CHANGE,
            EventField.HOLDER,
            EventField.FENCING),
    ORDER_SENT(
            "an order was sent to an engine",
            EventField.ORDER,
            EventField.UPSTREAM,
            EventField.TARGET,
            EventField.FENCING);

    private final String meaning;
    private final List<EventField> fields;

    EventType(String meaning, EventField... fields) {
        this.meaning = meaning;
        this.fields = List.of(fields);
    }

    /** Returns the description of the event. */
    public String meaning() {
        return meaning;
    }

    /** Returns the fields that the event can have, besides {@link EventField#LEFT_OUT}. */
    public List<EventField> fields() {
        return fields;
    }
}
