package org.baobabcart.router.timeline;

import java.util.Locale;

/** The fields of events; a field has the same meaning in all events. {@code docs/EVENTS.md} lists the same fields. */
public enum EventField {
    ANSWER_BEGUN("whether the answer of the attempt had begun to arrive"),
    ANSWER_BYTES("bytes of the answer's body that were passed to the caller"),
    ATTEMPT("number of the attempt at an upstream, from 1"),
    ATTEMPT_ID("id under which an attempt is claimed"),
    BILLS("bills that were stored"),
    BODY_BYTES("bytes of the request's body"),
    BODY_END("how the body of the upstream's answer ended"),
    BYTES("number of bytes"),
    CARRIED("requests that were sent on the connection before"),
    CAUSE("what led to the event, as a sentence"),
    CHANGE("what became of it"),
    CODE("number of the result code"),
    CONFIDENCE("how sure the smaller model is, from 0 to 100"),
    CONNECTION("number of the connection to the upstream, unique within the process"),
    CROWDING("what a request adds to the lateness of others at the largest model, 1 being an answer's whole worth"),
    DATA_CENTRE("name of a data centre"),
    DEADLINE_MS("time left until the caller's deadline"),
    EARLIER_ERA("era of the store before"),
    ERA("era of the store"),
    ESCALATED("whether a larger model is asked"),
    EVENTS("events of a stream that were passed to the caller"),
    FAILURE("how the attempt failed"),
    FENCING("fencing number of a lease"),
    FILE("name of the settings file"),
    FINGERPRINT("digests of requests and ids of parts of prompts"),
    FIRST_BYTE_MS("time from the head of the request to the first byte of its answer"),
    FRAMING("how the end of the body of the upstream's answer is marked"),
    GENERATION("generation of the document or table in force"),
    HOLDER("who holds it"),
    INCARNATION("how often it has started"),
    KEYS("number of keys"),
    LAST_EVENT("id of the last event that was passed to the caller"),
    LEFT_OUT("lines of this event that were left out before it"),
    MEMBER("name of another router"),
    METHOD("method of the request"),
    MODEL("name of a model"),
    NAME("name of the process or document"),
    OBJECT("name of an object in the store"),
    ORDER("id of an order"),
    OUTCOME("what is known of an attempt"),
    PARTS("ids of the parts of the prompt that other requests may share, in order"),
    PATH("path of the request"),
    PRESSURE("time in which the largest model begins to answer, over the time in which it should"),
    PROMPT_TOKENS("tokens of the prompt"),
    PROOF("what the answer carried as a proof of its origin, its first characters"),
    RAN("whether an upstream may have run the request: no or unknown"),
    RANK("rank of the request, 0 being the most urgent"),
    REACHABLE("false if it took no new connection or failed its health check; true if the check was only late"),
    RESOURCE_VERSION("version of an object in the store"),
    RESULT("name of the result code"),
    RETRY_AFTER_MS("time after which the caller should come back"),
    ROUTE("name of the route"),
    ROUTES("number of routes"),
    RUNNING("requests that run"),
    SEGMENT("name of a segment of bills"),
    SERVICE("name of a service"),
    SINCE("when the object in the store was created, as the store marks it"),
    SOURCE("where it came from: the platform, another router, or a logger's name"),
    STATE("state that it has now"),
    STATUS("status of the answer"),
    TARGET("version or load that is ordered"),
    TOOK_MS("time from the head of the request to its end"),
    TRIED("upstreams at which an attempt failed"),
    UPSTREAM("name of an engine or instance of a service"),
    UPSTREAM_LENGTH("length of the body that the upstream declared"),
    UPSTREAM_STATUS("status of the answer as the upstream sent it"),
    UPSTREAMS("number of upstreams in the list"),
    VERSION("version that an upstream runs"),
    WAITED_MS("time spent in the queue"),
    WAITING("requests in the queue of this router"),
    WEIGHT("weight of the crashes that accuse it"),
    WITHDRAWALS("number of versions withdrawn"),
    WORKSPACE("name of the caller's workspace");

    private final String meaning;

    EventField(String meaning) {
        this.meaning = meaning;
    }

    /** Returns the description of the field. */
    public String meaning() {
        return meaning;
    }

    /** Returns the name that is used in logs and reports. */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
