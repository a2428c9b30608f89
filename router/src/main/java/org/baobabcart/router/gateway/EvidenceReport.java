package org.baobabcart.router.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.version.LatencyHistogram;
import org.baobabcart.policy.version.ServiceEvidence;
import org.baobabcart.policy.version.VersionCounts;
import org.baobabcart.policy.version.VersionRequestClass;

/**
 * One router's report on the target version of an order, stored as an object in the platform's store. Immutable.
 *
 * @param order identifies the order among earlier ones of the same service
 * @param evidence the outcomes that the router has observed since the order's trial began
 */
record EvidenceReport(String order, ServiceEvidence evidence) {
    /** The kind of the stored objects; there is one object per service and router. */
    static final String KIND = "version-evidence";

    /** Far more requests than a router serves in its life; the sums over all routers cannot overflow. */
    private static final long MAX_COUNT = 1L << 40;

    private static final String ORDER = "order";
    private static final String OUTCOMES = "outcomes";
    private static final String VERSION = "version";
    private static final String WORK = "work";
    private static final String ANSWERS = "answers";
    private static final String FAILURES = "failures";
    private static final String BEGUN = "begun";
    private static final String UNBEGUN = "unbegun";

    /** Creates a report on an order. */
    static EvidenceReport of(VersionOrder order, ServiceEvidence evidence) {
        return new EvidenceReport(orderKey(order), evidence);
    }

    /** Returns whether the report is about this order rather than an earlier one of the same service. */
    boolean isFor(VersionOrder other) {
        return order.equals(orderKey(other));
    }

    private static String orderKey(VersionOrder order) {
        return order.service() + "/" + order.target() + "/" + order.created();
    }

    /** Returns the name of the object that holds a router's report on a service. */
    static String name(String service, String router) {
        return service + "." + router;
    }

    /** Returns the content of the stored object. */
    JsonNode toJson() {
        ObjectNode root = JsonNodeFactory.instance.objectNode().put(ORDER, order);
        ArrayNode outcomes = root.putArray(OUTCOMES);
        evidence.counts().forEach((requestClass, counts) -> {
            ObjectNode outcome = outcomes.addObject()
                    .put(VERSION, requestClass.version())
                    .put(WORK, requestClass.requestClass())
                    .put(ANSWERS, counts.answers())
                    .put(FAILURES, counts.failures());
            outcome.set(BEGUN, latenciesToJson(counts.startTimes()));
            outcome.set(UNBEGUN, latenciesToJson(counts.censoredTimes()));
        });
        return root;
    }

    private static JsonNode latenciesToJson(LatencyHistogram latencies) {
        ObjectNode buckets = JsonNodeFactory.instance.objectNode();
        latencies.byBucket().forEach((bucket, count) -> buckets.put(Integer.toString(bucket), count));
        return buckets;
    }

    /**
     * Reads the content of a stored object. Missing fields, as any process may write to the store, are read as zero counts.
     *
     * @throws BaobabcartException with {@code BAD_REQUEST} and the field's name if a count is out of range
     */
    static EvidenceReport fromJson(JsonNode root) {
        Map<VersionRequestClass, VersionCounts> counts = new HashMap<>();
        for (JsonNode outcome : root.path(OUTCOMES)) {
            VersionRequestClass requestClass = new VersionRequestClass(
                    outcome.path(VERSION).asText(), outcome.path(WORK).asText());
            counts.put(
                    requestClass,
                    new VersionCounts(
                            count(outcome, ANSWERS),
                            count(outcome, FAILURES),
                            latenciesFromJson(outcome.path(BEGUN)),
                            latenciesFromJson(outcome.path(UNBEGUN))));
        }
        return new EvidenceReport(root.path(ORDER).asText(), new ServiceEvidence(counts));
    }

    private static LatencyHistogram latenciesFromJson(JsonNode buckets) {
        Map<Integer, Long> counts = new HashMap<>();
        buckets.properties()
                .forEach(field -> parseBucket(field.getKey())
                        .ifPresent(bucket -> counts.put(bucket, count(buckets, field.getKey()))));
        return LatencyHistogram.of(counts);
    }

    private static long count(JsonNode parent, String field) {
        JsonNode value = parent.path(field);
        if (value.isNumber() && !(value.canConvertToLong() && value.asLong() <= MAX_COUNT)) {
            throw BaobabcartException.of(ResultCode.BAD_REQUEST, "a count is out of range")
                    .withLocation(field);
        }
        return Math.max(0, value.asLong());
    }

    private static Optional<Integer> parseBucket(String text) {
        try {
            return Optional.of(Integer.valueOf(text));
        } catch (NumberFormatException notANumber) {
            return Optional.empty();
        }
    }
}
