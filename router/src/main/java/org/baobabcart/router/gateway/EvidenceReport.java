package org.baobabcart.router.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.policy.version.LatencyHistogram;
import org.baobabcart.policy.version.ServiceEvidence;
import org.baobabcart.policy.version.VersionCounts;
import org.baobabcart.policy.version.VersionRequestClass;

/**
 * What one router tells the others of an order's target, as an object in the platform's store. Immutable.
 *
 * @param order tells the order apart from earlier ones of the same service
 * @param evidence what the router has seen since the order's trial began
 */
record EvidenceReport(String order, ServiceEvidence evidence) {
    /** The kind of the objects, one for each service and router. */
    static final String KIND = "version-evidence";

    private static final String ORDER = "order";
    private static final String OUTCOMES = "outcomes";
    private static final String VERSION = "version";
    private static final String WORK = "work";
    private static final String ANSWERS = "answers";
    private static final String FAILURES = "failures";
    private static final String BEGUN = "begun";
    private static final String UNBEGUN = "unbegun";

    /** A report on an order. */
    static EvidenceReport of(VersionOrder order, ServiceEvidence evidence) {
        return new EvidenceReport(mark(order), evidence);
    }

    /** Whether the report is on this order, and not on an earlier one of the same service. */
    boolean isOn(VersionOrder other) {
        return order.equals(mark(other));
    }

    private static String mark(VersionOrder order) {
        return order.service() + "/" + order.target() + "/" + order.created();
    }

    /** The name of a router's object on a service. */
    static String name(String service, String router) {
        return service + "." + router;
    }

    /** The content of the object in the store. */
    JsonNode toJson() {
        ObjectNode root = JsonNodeFactory.instance.objectNode().put(ORDER, order);
        ArrayNode outcomes = root.putArray(OUTCOMES);
        evidence.counts().forEach((work, counts) -> {
            ObjectNode outcome = outcomes.addObject()
                    .put(VERSION, work.version())
                    .put(WORK, work.requestClass())
                    .put(ANSWERS, counts.answers())
                    .put(FAILURES, counts.failures());
            outcome.set(BEGUN, json(counts.startTimes()));
            outcome.set(UNBEGUN, json(counts.censoredTimes()));
        });
        return root;
    }

    private static JsonNode json(LatencyHistogram times) {
        ObjectNode buckets = JsonNodeFactory.instance.objectNode();
        times.byBucket().forEach((bucket, count) -> buckets.put(Integer.toString(bucket), count));
        return buckets;
    }

    /** Reads the content of an object; what another writer has put there counts as nothing. */
    static EvidenceReport fromJson(JsonNode root) {
        Map<VersionRequestClass, VersionCounts> counts = new HashMap<>();
        for (JsonNode outcome : root.path(OUTCOMES)) {
            VersionRequestClass work = new VersionRequestClass(
                    outcome.path(VERSION).asText(), outcome.path(WORK).asText());
            counts.put(
                    work,
                    new VersionCounts(
                            Math.max(0, outcome.path(ANSWERS).asLong()),
                            Math.max(0, outcome.path(FAILURES).asLong()),
                            times(outcome.path(BEGUN)),
                            times(outcome.path(UNBEGUN))));
        }
        return new EvidenceReport(root.path(ORDER).asText(), new ServiceEvidence(counts));
    }

    private static LatencyHistogram times(JsonNode buckets) {
        Map<Integer, Long> counts = new HashMap<>();
        buckets.properties()
                .forEach(field -> bucket(field.getKey())
                        .ifPresent(bucket -> counts.put(bucket, field.getValue().asLong())));
        return LatencyHistogram.of(counts);
    }

    private static Optional<Integer> bucket(String text) {
        try {
            return Optional.of(Integer.valueOf(text));
        } catch (NumberFormatException notANumber) {
            return Optional.empty();
        }
    }
}
