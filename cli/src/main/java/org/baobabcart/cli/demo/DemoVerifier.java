package org.baobabcart.cli.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.baobabcart.cli.command.BillsCommand;
import org.baobabcart.cli.fleet.PollClock;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.model.request.Bill;
import org.baobabcart.model.request.Headers;

/** Compares the responses that callers received with the records of upstreams and of the platform. Not thread-safe. */
final class DemoVerifier {
    private static final Duration BILL_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration RUN_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration RUN_POLL_PERIOD = Duration.ofMillis(5);
    private static final Duration POLL_PERIOD = Duration.ofMillis(500);

    private final DemoFleet fleet;
    private final DemoReport report;
    private final Set<String> answered = new HashSet<>();

    private DemoVerifier(DemoFleet fleet, DemoReport report) {
        this.fleet = fleet;
        this.report = report;
    }

    static DemoVerifier of(DemoFleet fleet, DemoReport report) {
        return new DemoVerifier(fleet, report);
    }

    /** Records the first response to a request, if it was successful; repeated responses are not recorded. */
    void recordResponse(DemoResponse response) {
        String requestId = response.header(Headers.REQUEST_ID);
        if (response.succeeded() && !requestId.isEmpty()) {
            answered.add(requestId);
        }
    }

    /** Waits until services have started a number of calls, so that a kill interrupts calls in progress. */
    void awaitRuns(int count) {
        PollClock clock = fleet.context().clock();
        long deadline = clock.nanoTime() + RUN_TIMEOUT.toNanos();
        while (countRuns() < count && clock.nanoTime() < deadline) {
            clock.sleep(RUN_POLL_PERIOD);
        }
    }

    private int countRuns() {
        return fleet.processes().services().stream()
                .mapToInt(service -> fleet.processes().runs(service).size())
                .sum();
    }

    /** Checks that no booking that was rejected as not run has run; the bookings are given by idempotency key. */
    void checkNotRun(Set<String> keys) {
        Map<String, Integer> runs = runsByKey();
        long violations = keys.stream().filter(runs::containsKey).count();
        report.check(
                violations == 0,
                "each rejection as \"not run\" is correct",
                keys.size() + " rejections, " + violations + " of them ran");
    }

    /** Checks that no idempotency key ran more than once across all services. */
    void checkRuns() {
        report.section("Runs recorded by the upstreams");
        Map<String, Integer> runs = runsByKey();
        long duplicates = runs.values().stream().filter(count -> count > 1).count();
        report.check(
                duplicates == 0 && !runs.isEmpty(),
                "no booking ran twice",
                runs.size() + " keys ran, " + duplicates + " of them more than once");
    }

    private Map<String, Integer> runsByKey() {
        Map<String, Integer> runs = new HashMap<>();
        for (FleetNode service : fleet.processes().services()) {
            for (JsonNode run : fleet.processes().runs(service)) {
                String key = run.path("idempotencyKey").asText("");
                if (!key.isEmpty()) {
                    runs.merge(key, 1, Integer::sum);
                }
            }
        }
        return runs;
    }

    /** Waits until each answered request has a bill and checks that no request has more than one. */
    void checkBills() {
        report.section("Bills stored in the platform");
        PollClock clock = fleet.context().clock();
        long deadline = clock.nanoTime() + BILL_TIMEOUT.toNanos();
        List<Bill> bills = List.copyOf(BillsCommand.read(fleet.store()));
        while (countUnbilled(bills) > 0 && clock.nanoTime() < deadline) {
            clock.sleep(POLL_PERIOD);
            bills = List.copyOf(BillsCommand.read(fleet.store()));
        }
        long missing = countUnbilled(bills);
        report.check(
                missing == 0 && !answered.isEmpty(),
                "each answered request is billed once",
                answered.size() + " answered, " + bills.size() + " bills, " + missing + " without a bill");
    }

    private long countUnbilled(List<Bill> bills) {
        Set<String> billed = bills.stream().map(Bill::requestId).collect(Collectors.toSet());
        return answered.stream().filter(id -> !billed.contains(id)).count();
    }
}
