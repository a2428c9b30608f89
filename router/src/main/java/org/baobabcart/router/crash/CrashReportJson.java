package org.baobabcart.router.crash;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.crash.CrashObservation;
import org.baobabcart.policy.crash.CrashReport;
import org.baobabcart.policy.crash.CrashSeverity;
import org.baobabcart.policy.crash.Quarantine;
import org.baobabcart.policy.crash.RequestFingerprint;

/**
 * The format in which crash reports are stored. Content that is not in this format, as any process may write to the store, is read as
 * far as it is, and says nothing otherwise. A number that is out of range makes the whole report invalid ({@code BAD_REQUEST}).
 */
final class CrashReportJson {
    /** The greatest term or count, so that adding to it cannot overflow. */
    private static final int MAX_NUMBER = Integer.MAX_VALUE / 2;

    private static final String SEQUENCE = "sequence";
    private static final String CRASHES = "crashes";
    private static final String CRASH = "crash";
    private static final String LOST = "lost";
    private static final String UNANSWERED = "unanswered";
    private static final String REQUEST = "request";
    private static final String PARTS = "parts";
    private static final String BEGUN = "begun";
    private static final String QUARANTINES = "quarantines";
    private static final String KEYS = "keys";
    private static final String TERM = "term";
    private static final String ENDED = "ended";

    private CrashReportJson() {}

    static JsonNode write(CrashReport report) {
        ObjectNode root = JsonNodeFactory.instance.objectNode().put(SEQUENCE, report.sequence());
        ArrayNode crashes = root.putArray(CRASHES);
        for (CrashObservation observation : report.crashes()) {
            ObjectNode crash = crashes.addObject()
                    .put(CRASH, observation.crash())
                    .put(LOST, observation.severity() == CrashSeverity.LOST_UPSTREAM);
            ArrayNode unanswered = crash.putArray(UNANSWERED);
            for (RequestFingerprint request : observation.unanswered()) {
                ObjectNode entry = unanswered.addObject().put(REQUEST, request.request());
                addAll(entry.putArray(PARTS), request.parts());
            }
        }
        ObjectNode begun = root.putObject(BEGUN);
        report.begun().forEach(begun::put);
        ArrayNode quarantines = root.putArray(QUARANTINES);
        report.quarantines().forEach((quarantine, term) -> {
            ObjectNode entry = quarantines.addObject().put(TERM, term);
            addAll(entry.putArray(KEYS), quarantine.keys());
        });
        ObjectNode ended = root.putObject(ENDED);
        report.ended().forEach(ended::put);
        return root;
    }

    private static void addAll(ArrayNode array, Collection<String> texts) {
        texts.forEach(array::add);
    }

    static CrashReport read(String router, JsonNode root) {
        List<CrashObservation> crashes = new ArrayList<>();
        for (JsonNode crash : root.path(CRASHES)) {
            List<RequestFingerprint> unanswered = new ArrayList<>();
            for (JsonNode entry : crash.path(UNANSWERED)) {
                unanswered.add(new RequestFingerprint(entry.path(REQUEST).asText(), texts(entry.path(PARTS))));
            }
            CrashSeverity severity =
                    crash.path(LOST).asBoolean() ? CrashSeverity.LOST_UPSTREAM : CrashSeverity.BROKEN_CONNECTION;
            crashes.add(new CrashObservation(crash.path(CRASH).asText(), severity, unanswered));
        }
        Map<Quarantine, Integer> quarantines = new HashMap<>();
        for (JsonNode entry : root.path(QUARANTINES)) {
            Set<String> keys = new HashSet<>(texts(entry.path(KEYS)));
            if (!keys.isEmpty()) {
                quarantines.put(new Quarantine(keys), number(entry, TERM));
            }
        }
        return new CrashReport(
                router,
                root.path(SEQUENCE).asLong(),
                crashes,
                numbers(root.path(BEGUN)),
                quarantines,
                numbers(root.path(ENDED)));
    }

    private static Map<String, Integer> numbers(JsonNode object) {
        Map<String, Integer> numbers = new HashMap<>();
        object.properties().forEach(entry -> numbers.put(entry.getKey(), number(object, entry.getKey())));
        return numbers;
    }

    private static int number(JsonNode parent, String field) {
        JsonNode value = parent.path(field);
        if (value.isNumber() && !(value.canConvertToInt() && value.asInt() >= 0 && value.asInt() <= MAX_NUMBER)) {
            throw BaobabcartException.of(ResultCode.BAD_REQUEST, "a number is out of range")
                    .withLocation(field);
        }
        return value.asInt();
    }

    private static List<String> texts(JsonNode array) {
        List<String> texts = new ArrayList<>();
        array.forEach(text -> texts.add(text.asText()));
        return texts;
    }
}
