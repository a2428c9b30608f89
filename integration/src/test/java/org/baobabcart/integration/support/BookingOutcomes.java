package org.baobabcart.integration.support;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

/** How all bookings of a test ended, and whether what their callers were told is true. Not thread-safe. */
public final class BookingOutcomes {
    private final List<CallerResponse> endings = new ArrayList<>();

    private BookingOutcomes() {}

    public static BookingOutcomes create() {
        return new BookingOutcomes();
    }

    /** Keys that no other test of the class uses. */
    public static List<String> keys(String name, int count) {
        return IntStream.range(0, count).mapToObj(index -> name + "-" + index).toList();
    }

    /** Waits for the ends of calls. */
    public List<CallerResponse> all(List<CompletableFuture<CallerResponse>> calls) {
        return calls.stream().map(this::one).toList();
    }

    /** Waits for the end of a call. */
    public CallerResponse one(CompletableFuture<CallerResponse> call) {
        CallerResponse ending = call.join();
        endings.add(ending);
        return ending;
    }

    /**
     * Checks that no key ran twice, that "not run" was true, and that each caller was told an outcome, "not run" or
     * that nobody knows.
     *
     * @param runsByKey how often the service ran each key
     * @param requestsRun the requests that the service has seen
     */
    public void assertHonest(Map<String, ? extends Number> runsByKey, Set<String> requestsRun) {
        assertThat(
                runsByKey.entrySet().stream()
                        .filter(entry -> entry.getValue().longValue() > 1)
                        .toList(),
                empty());
        assertThat(
                endings.stream()
                        .filter(CallerResponse::saysNotRun)
                        .map(CallerResponse::requestId)
                        .filter(requestsRun::contains)
                        .toList(),
                empty());
        assertThat(
                endings.stream()
                        .filter(ending -> !ending.booked() && !ending.saysNotRun() && !ending.saysUnknown())
                        .toList(),
                empty());
    }
}
