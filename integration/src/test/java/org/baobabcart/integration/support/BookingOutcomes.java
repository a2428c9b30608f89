package org.baobabcart.integration.support;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/** Collects the responses to all bookings of a test and checks that they are true. Not thread-safe. */
public final class BookingOutcomes {
    private final List<CallerResponse> responses = new ArrayList<>();

    private BookingOutcomes() {}

    public static BookingOutcomes create() {
        return new BookingOutcomes();
    }

    /** Returns idempotency keys that no other test of the class uses. */
    public static List<String> keys(String name, int count) {
        return IntStream.range(0, count).mapToObj(index -> name + "-" + index).toList();
    }

    /** Waits for the responses to calls. */
    public List<CallerResponse> awaitAll(List<CompletableFuture<CallerResponse>> calls) {
        return calls.stream().map(this::await).toList();
    }

    /** Waits for the response to a call. */
    public CallerResponse await(CompletableFuture<CallerResponse> call) {
        CallerResponse response = call.join();
        responses.add(response);
        return response;
    }

    /**
     * Checks that no key ran twice, that no request reported as "not run" was run, and that each response is a booking,
     * "not run" or "unknown".
     *
     * @param runsByKey how often the service ran a call with each key
     * @param requestsRun the ids of the requests that the service started
     */
    public void assertConsistent(Map<String, ? extends Number> runsByKey, Set<String> requestsRun) {
        assertThat(
                runsByKey.entrySet().stream()
                        .filter(entry -> entry.getValue().longValue() > 1)
                        .toList(),
                empty());
        assertThat(
                responses.stream()
                        .filter(CallerResponse::reportsNotRun)
                        .map(CallerResponse::requestId)
                        .filter(requestsRun::contains)
                        .toList(),
                empty());
        assertThat(
                responses.stream()
                        .filter(response ->
                                !response.isBooked() && !response.reportsNotRun() && !response.reportsUnknown())
                        .toList(),
                empty());
    }
}
