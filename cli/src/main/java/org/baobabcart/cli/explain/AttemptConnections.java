package org.baobabcart.cli.explain;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Connections on which the attempts of a request were sent, in chronological order. Immutable.
 *
 * <p>Connection numbers are unique only within a router process: after a restart, the same number refers to a different
 * connection.
 */
final class AttemptConnections {
    private static final String CONNECTION = "connection";
    private static final String CARRIED = "carried";

    private final List<LogLine> dispatches;
    private final List<LogLine> processStarts;
    private final boolean responseMismatch;

    private AttemptConnections(List<LogLine> dispatches, List<LogLine> processStarts, boolean responseMismatch) {
        this.dispatches = dispatches;
        this.processStarts = processStarts;
        this.responseMismatch = responseMismatch;
    }

    /**
     * Creates the connections of a request.
     *
     * @param requestLines the log lines of the request
     * @param processStarts the log lines that record the process starts of its routers
     */
    static AttemptConnections of(List<LogLine> requestLines, List<LogLine> processStarts) {
        List<LogLine> dispatches = requestLines.stream()
                .filter(line -> line.event().equals("REQUEST_DISPATCHED") && isNumbered(line))
                .toList();
        boolean crossed =
                requestLines.stream().anyMatch(line -> line.field("failure").equals("CROSSED"));
        boolean differentStatus = requestLines.stream().anyMatch(AttemptConnections::statusDiffersFromUpstream);
        return new AttemptConnections(dispatches, List.copyOf(processStarts), crossed || differentStatus);
    }

    /** Returns whether a line records bytes from an upstream that belong to no response. */
    static boolean isUnexpectedData(LogLine line) {
        return line.event().equals("UNEXPECTED_DATA");
    }

    /** Returns whether a line records that the caller received a different status than the upstream sent. */
    static boolean statusDiffersFromUpstream(LogLine line) {
        return !line.field("upstream_status").isEmpty()
                && !line.field("status").isEmpty()
                && !line.field("upstream_status").equals(line.field("status"));
    }

    /**
     * Returns whether the attempt has a connection; the number is zero if it was closed before the attempt was sent.
     */
    private static boolean isNumbered(LogLine line) {
        return line.fields().path(CONNECTION).asLong() > 0;
    }

    /**
     * Returns whether unexpected data arrived on a connection of the request: before an attempt or during it at any
     * time, and after it if no further request had been sent on the connection.
     */
    boolean matches(LogLine unexpectedData) {
        return dispatches.stream().anyMatch(dispatch -> matches(dispatch, unexpectedData));
    }

    private boolean matches(LogLine dispatch, LogLine data) {
        return isUnexpectedData(data)
                && dispatch.node().equals(data.node())
                && dispatch.field(CONNECTION).equals(data.field(CONNECTION))
                && data.fields().path(CARRIED).asLong()
                        <= dispatch.fields().path(CARRIED).asLong()
                && countStartsBefore(dispatch) == countStartsBefore(data);
    }

    private long countStartsBefore(LogLine line) {
        return processStarts.stream()
                .filter(start -> start.node().equals(line.node()) && start.timeMillis() <= line.timeMillis())
                .count();
    }

    /**
     * Describes the connection of each attempt if the response may belong to another request; empty otherwise.
     *
     * @param related the related log lines of the routers
     */
    Optional<String> describe(List<LogLine> related) {
        if (!responseMismatch && related.stream().noneMatch(this::matches)) {
            return Optional.empty();
        }
        List<String> sentences = new ArrayList<>();
        for (LogLine dispatch : dispatches) {
            sentences.add("Attempt " + dispatch.field("attempt") + " was sent to " + dispatch.field("upstream")
                    + " on connection " + dispatch.field(CONNECTION) + " of " + dispatch.node() + ", which had carried "
                    + requests(dispatch.fields().path(CARRIED).asLong()) + " before.");
            related.stream()
                    .filter(line -> matches(dispatch, line))
                    .map(line -> describeData(dispatch, line))
                    .forEach(sentences::add);
        }
        return sentences.isEmpty() ? Optional.empty() : Optional.of(String.join(" ", sentences));
    }

    private static String requests(long count) {
        return count == 0 ? "no request" : count + (count == 1 ? " request" : " requests");
    }

    private static String describeData(LogLine dispatch, LogLine data) {
        boolean before = data.fields().path(CARRIED).asLong()
                < dispatch.fields().path(CARRIED).asLong();
        return data.field("bytes") + " bytes that belong to no answer arrived there at " + data.timeOfDay()
                + (before ? ", before the attempt: " : ", after the attempt began: ") + data.field("cause") + ".";
    }
}
