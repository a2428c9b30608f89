package org.baobabcart.policy.crash;

import java.util.List;
import java.util.stream.Stream;

/**
 * One crash of an upstream as one router observed it. Immutable.
 *
 * @param crash identifies the crash: equal for all routers that observed it
 * @param severity how certain the crash is
 * @param unanswered the requests of this router that the upstream had received and whose answer had not begun
 */
public record CrashObservation(String crash, CrashSeverity severity, List<RequestFingerprint> unanswered) {
    /** Requests beyond this number are not recorded, which bounds the size of a report. */
    private static final int MAX_REQUESTS = 64;

    /** Copies the list. */
    public CrashObservation {
        unanswered = unanswered.stream().limit(MAX_REQUESTS).toList();
    }

    /** Returns this observation and one more request. */
    public CrashObservation with(CrashSeverity otherSeverity, RequestFingerprint request) {
        CrashSeverity strongest = otherSeverity.compareTo(severity) > 0 ? otherSeverity : severity;
        List<RequestFingerprint> requests = unanswered.contains(request)
                ? unanswered
                : Stream.concat(unanswered.stream(), Stream.of(request)).toList();
        return new CrashObservation(crash, strongest, requests);
    }
}
