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
import org.baobabcart.cli.fleet.Pauses;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.model.request.Bill;
import org.baobabcart.model.request.Headers;

/** What upstreams and the platform say really happened, against what callers were told. Used by one thread. */
final class DemoEvidence {
    private static final Duration BILL_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration RUN_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration RUN_POLL_PERIOD = Duration.ofMillis(5);
    private static final Duration POLL_PERIOD = Duration.ofMillis(500);

    private final DemoFleet fleet;
    private final DemoReport report;
    private final Set<String> answered = new HashSet<>();

    private DemoEvidence(DemoFleet fleet, DemoReport report) {
        this.fleet = fleet;
        this.report = report;
    }

    static DemoEvidence of(DemoFleet fleet, DemoReport report) {
        return new DemoEvidence(fleet, report);
    }

    /** A caller got this answer for the first time. */
    void answered(DemoReply reply) {
        String requestId = reply.header(Headers.REQUEST_ID);
        if (reply.succeeded() && !requestId.isEmpty()) {
            answered.add(requestId);
        }
    }

    /** Waits until services have begun some more calls, so that a kill meets work under way. */
    void awaitRuns(int more) {
        Pauses pauses = fleet.context().pauses();
        long deadline = pauses.nanoTime() + RUN_TIMEOUT.toNanos();
        while (runCount() < more && pauses.nanoTime() < deadline) {
            pauses.pause(RUN_POLL_PERIOD);
        }
    }

    private int runCount() {
        return fleet.processes().services().stream()
                .mapToInt(service -> fleet.processes().runs(service).size())
                .sum();
    }

    /** Checks that none of these keys, whose calls were refused as not run, has run. */
    void checkNotRun(Set<String> keys) {
        Map<String, Integer> runs = runsByKey();
        long wrong = keys.stream().filter(runs::containsKey).count();
        report.check(wrong == 0, "each \"not run\" is true", keys.size() + " refusals, " + wrong + " of them ran");
    }

    /** Checks that no idempotency key ran twice on the services taken together. */
    void checkRuns() {
        report.part("What the upstreams say");
        Map<String, Integer> runs = runsByKey();
        long doubled = runs.values().stream().filter(count -> count > 1).count();
        report.check(
                doubled == 0 && !runs.isEmpty(),
                "no booking ran twice",
                runs.size() + " keys ran, " + doubled + " of them more than once");
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

    /** Waits until each answered request has its bill and checks that none has two. */
    void checkBills() {
        report.part("What the platform's bills say");
        Pauses pauses = fleet.context().pauses();
        long deadline = pauses.nanoTime() + BILL_TIMEOUT.toNanos();
        List<Bill> bills = List.copyOf(BillsCommand.read(fleet.store()));
        while (unbilled(bills) > 0 && pauses.nanoTime() < deadline) {
            pauses.pause(POLL_PERIOD);
            bills = List.copyOf(BillsCommand.read(fleet.store()));
        }
        long missing = unbilled(bills);
        report.check(
                missing == 0 && !answered.isEmpty(),
                "each answered request is billed once",
                answered.size() + " answered, " + bills.size() + " bills, " + missing + " without a bill");
    }

    private long unbilled(List<Bill> bills) {
        Set<String> billed = bills.stream().map(Bill::requestId).collect(Collectors.toSet());
        return answered.stream().filter(id -> !billed.contains(id)).count();
    }
}
