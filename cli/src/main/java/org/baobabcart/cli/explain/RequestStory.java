package org.baobabcart.cli.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Log lines of a request, related lines that may have influenced its outcome, and a summary. Immutable.
 *
 * @param request the id of the request
 * @param lines the request's log lines and the related lines, in chronological order
 * @param conclusion a short summary of the outcome and its cause
 */
public record RequestStory(String request, List<LogLine> lines, String conclusion) {
    /**
     * Changes of upstreams and sheets this long before a request may influence it: a few times the configuration bound.
     */
    private static final long BEFORE_MILLIS = 10_000;
    /** A router may detect the cause shortly after the request has ended. */
    private static final long AFTER_MILLIS = 3_000;

    private static final String SHEET_APPLIED = "SHEET_APPLIED";
    private static final String PROCESS_STARTED = "PROCESS_STARTED";
    private static final Set<String> ROUTER_EVENTS = Set.of(
            "DEPENDENCY_LOST",
            "DEPENDENCY_FOUND",
            "PLATFORM_LOST",
            "PLATFORM_FOUND",
            PROCESS_STARTED,
            "PROCESS_READY",
            "PROCESS_STOPPING",
            "PROCESS_STOPPED",
            "SHEET_PUT_ASIDE",
            "FINGERPRINT_QUARANTINED",
            SHEET_APPLIED);
    private static final Set<String> UPSTREAM_EVENTS =
            Set.of("UPSTREAM_CHANGED", "UPSTREAM_SUSPECTED", "UPSTREAM_BACK");
    private static final Set<String> FINAL_EVENTS =
            Set.of("REQUEST_FINISHED", "REQUEST_REFUSED", "REQUEST_FAILED", "REQUEST_CANCELLED");
    private static final Comparator<LogLine> BY_TIME = Comparator.comparingLong(LogLine::timeMillis);

    /** Copies the list. */
    public RequestStory {
        lines = List.copyOf(lines);
    }

    /** Reads the files twice, so that only the lines of the request and related lines are kept in memory. */
    public static Optional<RequestStory> read(String request, LogFiles files) {
        List<LogLine> requestLines = files.lines(line -> line.request().equals(request)).stream()
                .sorted(BY_TIME)
                .toList();
        if (requestLines.isEmpty()) {
            return Optional.empty();
        }
        Set<String> nodes = requestLines.stream().map(LogLine::node).collect(Collectors.toSet());
        // Connections can only be told apart once all process starts of their router are known.
        AttemptConnections anyProcess = AttemptConnections.of(requestLines, List.of());
        Predicate<LogLine> isRelated = relatedTo(requestLines);
        Predicate<LogLine> start = line -> line.event().equals(PROCESS_STARTED) && nodes.contains(line.node());
        List<LogLine> candidates = files
                .lines(line -> !line.request().equals(request)
                        && (isRelated.test(line) || start.test(line) || anyProcess.matches(line)))
                .stream()
                .sorted(BY_TIME)
                .toList();
        AttemptConnections connections = AttemptConnections.of(
                requestLines, candidates.stream().filter(start).toList());
        List<LogLine> related = candidates.stream()
                .filter(line -> isRelated.test(line) || connections.matches(line))
                .toList();
        List<LogLine> all = Stream.concat(related.stream(), requestLines.stream())
                .sorted(BY_TIME)
                .toList();
        return Optional.of(new RequestStory(request, all, summarize(requestLines, related, connections)));
    }

    private static Predicate<LogLine> relatedTo(List<LogLine> requestLines) {
        long begin = requestLines.get(0).timeMillis() - BEFORE_MILLIS;
        long end = requestLines.get(requestLines.size() - 1).timeMillis() + AFTER_MILLIS;
        Set<String> nodes = new HashSet<>();
        Set<String> upstreams = new HashSet<>();
        requestLines.forEach(line -> {
            nodes.add(line.node());
            upstreams.add(line.field("upstream"));
        });
        return line -> line.timeMillis() >= begin
                && line.timeMillis() <= end
                && (nodes.contains(line.node()) && ROUTER_EVENTS.contains(line.event())
                        || line.event().equals(SHEET_APPLIED)
                        || nodes.contains(line.node())
                                && UPSTREAM_EVENTS.contains(line.event())
                                && upstreams.contains(line.field("upstream")));
    }

    private static String summarize(List<LogLine> requestLines, List<LogLine> related, AttemptConnections connections) {
        List<String> sentences = new ArrayList<>();
        Optional<LogLine> end = last(requestLines, line -> FINAL_EVENTS.contains(line.event()));
        sentences.add(end.map(RequestStory::describeEnd)
                .orElse("No line tells how it ended: it was still running, or its"
                        + " router ended or left lines out."));
        long sent = requestLines.stream()
                .filter(line -> line.event().equals("REQUEST_DISPATCHED"))
                .count();
        boolean finished =
                end.filter(line -> line.event().equals("REQUEST_FINISHED")).isPresent();
        if (!finished) {
            sentences.add(
                    sent == 0
                            ? "No attempt was sent to an upstream."
                            : sent + (sent == 1 ? " attempt was" : " attempts were") + " sent.");
        }
        last(requestLines, line -> line.event().equals("ATTEMPT_FAILED"))
                .ifPresent(line -> sentences.add("The last failed attempt: " + line.field("failure") + " at "
                        + line.field("upstream") + ", " + line.field("cause") + "."));
        connections.describe(related).ifPresent(sentences::add);
        if (!finished) {
            if (sent == 0) {
                describeSheets(requestLines, related).ifPresent(sentences::add);
            }
            describeUpstreams(requestLines, related).ifPresent(sentences::add);
            last(related, line -> line.event().endsWith("_LOST"))
                    .ifPresent(line -> sentences.add("The store was out of reach of " + line.node() + " meanwhile."));
        }
        return String.join(" ", sentences);
    }

    private static String describeEnd(LogLine end) {
        String elapsed = " after " + end.field("took_ms") + " ms on " + end.node();
        return switch (end.event()) {
            case "REQUEST_FINISHED" ->
                "Answered with status " + end.field("status") + elapsed + "." + describeUpstreamStatus(end)
                        + describeBodyEnd(end);
            case "REQUEST_CANCELLED" -> "The caller left" + elapsed + ": " + end.field("cause") + ".";
            default ->
                (end.event().equals("REQUEST_REFUSED") ? "Refused" : "Failed") + " with " + end.field("code") + " "
                        + end.field("result") + elapsed + ": " + end.field("cause") + ".";
        };
    }

    private static String describeUpstreamStatus(LogLine end) {
        return AttemptConnections.statusDiffersFromUpstream(end)
                ? " The upstream's status was " + end.field("upstream_status") + "."
                : "";
    }

    private static String describeBodyEnd(LogLine end) {
        return switch (end.field("body_end")) {
            case "CLOSED_BY_PEER" ->
                " The answer had no length and ended when the upstream closed its connection, after "
                        + end.field("answer_bytes")
                        + " bytes" + lastEvent(end) + "; whether it was whole cannot be proved.";
            case "CLOSED_BEFORE_REQUEST" ->
                " The answer had no length and ended when the upstream closed its connection before it had the whole request: it may be cut.";
            case "CLOSED_BY_ROUTER" ->
                " The answer had no length and ended when this router closed the connection, after "
                        + end.field("answer_bytes") + " bytes" + lastEvent(end) + ": it is not whole.";
            default -> "";
        };
    }

    private static String lastEvent(LogLine end) {
        return end.field("events").isEmpty()
                ? ""
                : " and " + end.field("events") + " events, the last with id " + end.field("last_event");
    }

    /**
     * Describes the sheet generation that rejected the request, and when it and neighbouring generations were applied.
     */
    private static Optional<String> describeSheets(List<LogLine> requestLines, List<LogLine> related) {
        String used = last(requestLines, line -> !line.field("generation").isEmpty())
                .map(line -> line.field("generation"))
                .orElse("");
        Map<String, List<LogLine>> applied = related.stream()
                .filter(line -> line.event().equals(SHEET_APPLIED))
                .collect(Collectors.groupingBy(
                        line -> line.field("generation"), LinkedHashMap::new, Collectors.toList()));
        if (applied.isEmpty() || used.isEmpty()) {
            return Optional.empty();
        }
        List<String> changes = new ArrayList<>();
        applied.forEach((generation, lines) -> changes.add("%s from %s (%s) to %s (%s)"
                .formatted(
                        generation,
                        lines.get(0).timeOfDay(),
                        lines.get(0).node(),
                        lines.get(lines.size() - 1).timeOfDay(),
                        lines.get(lines.size() - 1).node())));
        return Optional.of(
                "Decided by generation " + used + "; came into force around it: " + String.join(", ", changes) + ".");
    }

    private static Optional<String> describeUpstreams(List<LogLine> requestLines, List<LogLine> related) {
        Map<String, Long> suspicions = related.stream()
                .filter(line -> line.event().equals("UPSTREAM_SUSPECTED"))
                .filter(line -> failedUpstreams(requestLines).contains(line.field("upstream")))
                .collect(Collectors.groupingBy(line -> line.field("upstream"), TreeMap::new, Collectors.counting()));
        List<String> changes = related.stream()
                .filter(line -> line.event().equals("UPSTREAM_CHANGED"))
                .filter(line -> failedUpstreams(requestLines).contains(line.field("upstream")))
                .map(line -> line.detail() + " at " + line.timeOfDay())
                .toList();
        List<String> parts = new ArrayList<>();
        suspicions.forEach((upstream, count) ->
                parts.add(upstream + " was passed over " + count + (count == 1 ? " time" : " times")));
        parts.addAll(changes);
        return parts.isEmpty() ? Optional.empty() : Optional.of("Around it: " + String.join("; ", parts) + ".");
    }

    private static Set<String> failedUpstreams(List<LogLine> requestLines) {
        return requestLines.stream()
                .filter(line -> line.event().equals("ATTEMPT_FAILED"))
                .map(line -> line.field("upstream"))
                .collect(Collectors.toSet());
    }

    private static Optional<LogLine> last(List<LogLine> lines, Predicate<LogLine> predicate) {
        return lines.stream().filter(predicate).reduce((first, second) -> second);
    }
}
