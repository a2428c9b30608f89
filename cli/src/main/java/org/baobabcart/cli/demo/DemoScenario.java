package org.baobabcart.cli.demo;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baobabcart.cli.fleet.PollClock;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.model.request.Headers;

/** Sends requests of each kind through the routers, kills a router and checks the guarantees. Not thread-safe. */
final class DemoScenario {
    private static final String LARGE = "layout-large";
    private static final String SMALL = "layout-small";
    private static final String CASCADE = "layout";
    private static final String NEW_VERSION = "v2";
    private static final int PARALLEL_REQUESTS = 20;
    private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(20);

    private final DemoFleet fleet;
    private final DemoReport report;
    private final DemoCaller caller;
    private final DemoVerifier verifier;
    private final String seed;

    private DemoScenario(DemoFleet fleet, DemoReport report, long seed) {
        this.fleet = fleet;
        this.report = report;
        this.caller = fleet.caller(0);
        this.verifier = DemoVerifier.of(fleet, report);
        this.seed = Long.toString(seed);
    }

    static DemoScenario of(DemoFleet fleet, DemoReport report, long seed) {
        return new DemoScenario(fleet, report, seed);
    }

    void run() {
        FleetNode first = fleet.routers().get(0);
        FleetNode last = fleet.routers().get(fleet.routers().size() - 1);
        reportFleet();
        checkModels();
        checkSession(first, last);
        checkBookings(first, last);
        killRouter(first, last);
        verifier.checkRuns();
        verifier.checkBills();
        stopRouters();
    }

    private void reportFleet() {
        report.section("Fleet");
        fleet.routers()
                .forEach(router -> report.event(
                        router.name() + " in data centre " + router.dataCentre() + " at " + router.caller()));
        report.event(fleet.processes().engines().size() + " engines, "
                + fleet.processes().services().size() + " services; every router has applied the sheet");
    }

    private void checkModels() {
        report.section("Model requests through every router");
        for (FleetNode router : fleet.routers()) {
            DemoResponse chat = await(caller.chat(router, LARGE, "cut two panes " + seed, ""));
            check(chat.isCompleteChat(), "chat response complete", router, chat);
            DemoResponse stream = await(caller.stream(router, SMALL, "status of my order " + seed));
            check(stream.isCompleteStream(), "streamed response complete with its end event", router, stream);
            DemoResponse cascade = await(caller.chat(router, CASCADE, "lay out a facade " + seed, ""));
            boolean escalated = cascade.isCompleteChat() && LARGE.equals(cascade.header(Headers.MODEL));
            check(escalated, "cascade escalated below the quality target", router, cascade);
        }
        DemoResponse rejected = await(caller.chat(fleet.routers().get(0), "no-such-model", "x", ""));
        boolean rejectedNotRun =
                rejected.json().path("error").path("ran").asText().equals("no");
        report.check(rejectedNotRun, "unknown model rejected with a result code and \"not run\"", rejected.summary());
    }

    private void checkSession(FleetNode first, FleetNode last) {
        report.section("A session keeps its version through another router");
        DemoResponse started = await(caller.chat(first, LARGE + "@" + NEW_VERSION, "begin " + seed, ""));
        verifier.recordResponse(started);
        String session = started.header(Headers.SESSION);
        report.event(first.name() + " began a session on version " + started.header(Headers.VERSION));
        DemoResponse continued = await(caller.chat(last, LARGE, "go on " + seed, session));
        boolean kept = continued.isCompleteChat()
                && NEW_VERSION.equals(continued.header(Headers.VERSION))
                && !session.isEmpty();
        check(kept, "session kept version " + NEW_VERSION, last, continued);
    }

    private void checkBookings(FleetNode first, FleetNode last) {
        report.section("A booking and its replay");
        String key = "booking-" + seed;
        DemoResponse booked = await(caller.book(first, key, "pane"));
        verifier.recordResponse(booked);
        report.check(booked.succeeded(), "booking confirmed", first.name() + ", " + booked.summary());
        DemoResponse replayed = await(caller.book(last, key, "pane"));
        boolean same = replayed.succeeded() && replayed.body().equals(booked.body());
        report.check(same, "the same key gets the same response again", last.name() + ", " + replayed.summary());
    }

    private void killRouter(FleetNode first, FleetNode last) {
        report.section("A router is killed under load");
        boolean singleRouter = first.equals(last);
        List<Uni<DemoResponse>> streams = new ArrayList<>();
        List<Uni<DemoResponse>> bookings = new ArrayList<>();
        for (int index = 0; index < PARALLEL_REQUESTS; index++) {
            FleetNode router = index % 2 == 0 ? first : last;
            streams.add(caller.stream(router, LARGE, "pane " + index + " " + seed));
            bookings.add(caller.book(router, bookingKey(index), "pane " + index));
        }
        List<Uni<DemoResponse>> all = new ArrayList<>(streams);
        all.addAll(bookings);
        Uni<List<DemoResponse>> running = startAll(all);
        verifier.awaitRuns(PARALLEL_REQUESTS / 2);
        if (!singleRouter) {
            first.process().kill();
            report.event(first.name() + " killed with " + all.size() + " requests in progress");
        }
        List<DemoResponse> responses = await(running);
        checkSurvivor(responses, singleRouter);
        resend(responses, last);
    }

    private static Uni<List<DemoResponse>> startAll(List<Uni<DemoResponse>> requests) {
        Uni<List<DemoResponse>> all =
                Uni.join().all(requests).andFailFast().memoize().indefinitely();
        all.subscribe().with(ignored -> {});
        return all;
    }

    private void checkSurvivor(List<DemoResponse> responses, boolean singleRouter) {
        int completed = 0;
        int falselyComplete = 0;
        int survivorFailures = 0;
        Set<String> notRun = new HashSet<>();
        for (int index = 0; index < responses.size(); index++) {
            DemoResponse response = responses.get(index);
            boolean stream = index < PARALLEL_REQUESTS;
            boolean complete = stream ? response.isCompleteStream() : response.succeeded();
            boolean survivor = singleRouter || index % 2 == 1;
            boolean rejected = !stream && response.isRejectedNotRun() && response.retryAfterMillis() > 0;
            completed += complete ? 1 : 0;
            survivorFailures += survivor && !complete && !rejected ? 1 : 0;
            falselyComplete += stream && !complete && response.body().contains("[DONE]") ? 1 : 0;
            if (rejected) {
                notRun.add(bookingKey(index - PARALLEL_REQUESTS));
            }
            verifier.recordResponse(complete ? response : DemoResponse.failed(""));
        }
        report.check(
                survivorFailures == 0,
                "the other routers answered their requests, or rejected a booking as not run",
                survivorFailures + " neither");
        report.check(
                falselyComplete == 0,
                "no broken stream looked complete",
                completed + " of " + responses.size() + " answered completely");
        verifier.checkNotRun(notRun);
    }

    private void resend(List<DemoResponse> responses, FleetNode last) {
        int settled = 0;
        int unknown = 0;
        int inconsistent = 0;
        for (int index = 0; index < PARALLEL_REQUESTS; index++) {
            DemoResponse original = responses.get(PARALLEL_REQUESTS + index);
            DemoResponse repeated = bookUntilSettled(last, index);
            boolean same = !original.succeeded() || original.body().equals(repeated.body());
            String name = repeated.json().path("error").path("name").asText();
            if (repeated.succeeded() && same) {
                settled++;
            } else if (!original.succeeded() && name.equals("OUTCOME_UNKNOWN")) {
                unknown++;
            } else {
                inconsistent++;
                report.event("booking " + index + ": " + repeated.summary());
            }
        }
        report.check(
                inconsistent == 0,
                "each booking, sent again, is confirmed or reported as unknown",
                settled + " confirmed, " + unknown + " unknown, " + inconsistent + " neither");
    }

    /** Sends a booking again, and retries it while the error response gives a retry delay. */
    private DemoResponse bookUntilSettled(FleetNode router, int index) {
        PollClock clock = fleet.context().clock();
        long deadline = clock.nanoTime() + SETTLE_TIMEOUT.toNanos();
        DemoResponse response = await(caller.book(router, bookingKey(index), "pane " + index));
        while (!response.succeeded() && response.retryAfterMillis() > 0 && clock.nanoTime() < deadline) {
            clock.sleep(Duration.ofMillis(response.retryAfterMillis()));
            response = await(caller.book(router, bookingKey(index), "pane " + index));
        }
        return response;
    }

    private void stopRouters() {
        report.section("Planned stop");
        Map<String, Integer> codes = fleet.stopRouters();
        boolean clean = codes.values().stream().allMatch(code -> code == 0);
        report.check(clean, "every remaining router stopped by itself with exit code 0", codes.toString());
    }

    private void check(boolean passed, String claim, FleetNode router, DemoResponse response) {
        verifier.recordResponse(response);
        String version = response.header(Headers.MODEL) + "@" + response.header(Headers.VERSION);
        report.check(passed, claim, router.name() + ", " + response.summary() + ", " + version);
    }

    private String bookingKey(int index) {
        return "killed-" + seed + "-" + index;
    }

    private static <T> T await(Uni<T> operation) {
        return operation.await().indefinitely();
    }
}
