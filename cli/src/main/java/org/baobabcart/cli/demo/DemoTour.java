package org.baobabcart.cli.demo;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baobabcart.cli.fleet.Pauses;
import org.baobabcart.launcher.FleetNode;
import org.baobabcart.model.request.Headers;

/** Sends requests of each kind through the routers, kills one on the way and checks what held. Used by one thread. */
final class DemoTour {
    private static final String LARGE = "layout-large";
    private static final String SMALL = "layout-small";
    private static final String CASCADE = "layout";
    private static final String NEW_VERSION = "v2";
    private static final int PARALLEL_REQUESTS = 20;
    private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(20);

    private final DemoFleet fleet;
    private final DemoReport report;
    private final DemoCaller caller;
    private final DemoEvidence evidence;
    private final String seed;

    private DemoTour(DemoFleet fleet, DemoReport report, long seed) {
        this.fleet = fleet;
        this.report = report;
        this.caller = fleet.caller(0);
        this.evidence = DemoEvidence.of(fleet, report);
        this.seed = Long.toString(seed);
    }

    static DemoTour of(DemoFleet fleet, DemoReport report, long seed) {
        return new DemoTour(fleet, report, seed);
    }

    void run() {
        FleetNode first = fleet.routers().get(0);
        FleetNode last = fleet.routers().get(fleet.routers().size() - 1);
        introduce();
        models();
        session(first, last);
        bookings(first, last);
        kill(first, last);
        evidence.checkRuns();
        evidence.checkBills();
        stop();
    }

    private void introduce() {
        report.part("Fleet");
        fleet.routers()
                .forEach(router -> report.event(
                        router.name() + " in data centre " + router.dataCentre() + " at " + router.caller()));
        report.event(fleet.processes().engines().size() + " engines, "
                + fleet.processes().services().size() + " services; the sheet is in force on every router");
    }

    private void models() {
        report.part("Model requests through every router");
        for (FleetNode router : fleet.routers()) {
            DemoReply chat = await(caller.chat(router, LARGE, "cut two panes " + seed, ""));
            check(chat.wholeAnswer(), "chat answered whole", router, chat);
            DemoReply stream = await(caller.stream(router, SMALL, "status of my order " + seed));
            check(stream.wholeStream(), "stream whole to its end mark", router, stream);
            DemoReply cascade = await(caller.chat(router, CASCADE, "lay out a facade " + seed, ""));
            boolean escalated = cascade.wholeAnswer() && LARGE.equals(cascade.header(Headers.MODEL));
            check(escalated, "cascade escalated below the quality target", router, cascade);
        }
        DemoReply refused = await(caller.chat(fleet.routers().get(0), "no-such-model", "x", ""));
        boolean numbered = refused.json().path("error").path("ran").asText().equals("no");
        report.check(numbered, "unknown model refused with a number and \"not run\"", refused.summary());
    }

    private void session(FleetNode first, FleetNode last) {
        report.part("A session keeps its version through another router");
        DemoReply begun = await(caller.chat(first, LARGE + "@" + NEW_VERSION, "begin " + seed, ""));
        evidence.answered(begun);
        String session = begun.header(Headers.SESSION);
        report.event(first.name() + " began a session on version " + begun.header(Headers.VERSION));
        DemoReply gone = await(caller.chat(last, LARGE, "go on " + seed, session));
        boolean kept = gone.wholeAnswer() && NEW_VERSION.equals(gone.header(Headers.VERSION)) && !session.isEmpty();
        check(kept, "session kept version " + NEW_VERSION, last, gone);
    }

    private void bookings(FleetNode first, FleetNode last) {
        report.part("A booking and its replay");
        String key = "booking-" + seed;
        DemoReply booked = await(caller.book(first, key, "pane"));
        evidence.answered(booked);
        report.check(booked.succeeded(), "booking confirmed", first.name() + ", " + booked.summary());
        DemoReply replayed = await(caller.book(last, key, "pane"));
        boolean same = replayed.succeeded() && replayed.body().equals(booked.body());
        report.check(same, "the same key again gets the same answer", last.name() + ", " + replayed.summary());
    }

    private void kill(FleetNode first, FleetNode last) {
        report.part("A router is killed under load");
        boolean alone = first.equals(last);
        List<Uni<DemoReply>> streams = new ArrayList<>();
        List<Uni<DemoReply>> bookings = new ArrayList<>();
        for (int index = 0; index < PARALLEL_REQUESTS; index++) {
            FleetNode router = index % 2 == 0 ? first : last;
            streams.add(caller.stream(router, LARGE, "pane " + index + " " + seed));
            bookings.add(caller.book(router, bookingKey(index), "pane " + index));
        }
        List<Uni<DemoReply>> all = new ArrayList<>(streams);
        all.addAll(bookings);
        Uni<List<DemoReply>> running = started(all);
        evidence.awaitRuns(PARALLEL_REQUESTS / 2);
        if (!alone) {
            first.process().kill();
            report.event(first.name() + " killed with " + all.size() + " requests under way");
        }
        List<DemoReply> replies = await(running);
        checkSurvivor(replies, alone);
        resend(replies, last);
    }

    private static Uni<List<DemoReply>> started(List<Uni<DemoReply>> requests) {
        Uni<List<DemoReply>> all =
                Uni.join().all(requests).andFailFast().memoize().indefinitely();
        all.subscribe().with(ignored -> {});
        return all;
    }

    private void checkSurvivor(List<DemoReply> replies, boolean alone) {
        int whole = 0;
        int misleading = 0;
        int survivorFailed = 0;
        Set<String> notRun = new HashSet<>();
        for (int index = 0; index < replies.size(); index++) {
            DemoReply reply = replies.get(index);
            boolean stream = index < PARALLEL_REQUESTS;
            boolean complete = stream ? reply.wholeStream() : reply.succeeded();
            boolean survivor = alone || index % 2 == 1;
            boolean refused = !stream && reply.refusedNotRun() && reply.retryAfterMillis() > 0;
            whole += complete ? 1 : 0;
            survivorFailed += survivor && !complete && !refused ? 1 : 0;
            misleading += stream && !complete && reply.body().contains("[DONE]") ? 1 : 0;
            if (refused) {
                notRun.add(bookingKey(index - PARALLEL_REQUESTS));
            }
            evidence.answered(complete ? reply : DemoReply.broken(""));
        }
        report.check(
                survivorFailed == 0,
                "the other routers answered theirs, or refused a booking as not run for now",
                survivorFailed + " neither");
        report.check(
                misleading == 0,
                "no broken stream looked complete",
                whole + " of " + replies.size() + " answered whole");
        evidence.checkNotRun(notRun);
    }

    private void resend(List<DemoReply> replies, FleetNode last) {
        int settled = 0;
        int unknown = 0;
        int unclear = 0;
        for (int index = 0; index < PARALLEL_REQUESTS; index++) {
            DemoReply before = replies.get(PARALLEL_REQUESTS + index);
            DemoReply again = bookUntilSettled(last, index);
            boolean same = !before.succeeded() || before.body().equals(again.body());
            String name = again.json().path("error").path("name").asText();
            if (again.succeeded() && same) {
                settled++;
            } else if (!before.succeeded() && name.equals("OUTCOME_UNKNOWN")) {
                unknown++;
            } else {
                unclear++;
                report.event("booking " + index + ": " + again.summary());
            }
        }
        report.check(
                unclear == 0,
                "each booking, sent again, ends confirmed or honestly unknown",
                settled + " confirmed, " + unknown + " unknown, " + unclear + " neither");
    }

    /** Sends a booking again, and again when a refusal says to come back. */
    private DemoReply bookUntilSettled(FleetNode router, int index) {
        Pauses pauses = fleet.context().pauses();
        long deadline = pauses.nanoTime() + SETTLE_TIMEOUT.toNanos();
        DemoReply reply = await(caller.book(router, bookingKey(index), "pane " + index));
        while (!reply.succeeded() && reply.retryAfterMillis() > 0 && pauses.nanoTime() < deadline) {
            pauses.pause(Duration.ofMillis(reply.retryAfterMillis()));
            reply = await(caller.book(router, bookingKey(index), "pane " + index));
        }
        return reply;
    }

    private void stop() {
        report.part("Planned stop");
        Map<String, Integer> codes = fleet.stopRouters();
        boolean clean = codes.values().stream().allMatch(code -> code == 0);
        report.check(clean, "every router left running ended by itself with code 0", codes.toString());
    }

    private void check(boolean holds, String claim, FleetNode router, DemoReply reply) {
        evidence.answered(reply);
        String version = reply.header(Headers.MODEL) + "@" + reply.header(Headers.VERSION);
        report.check(holds, claim, router.name() + ", " + reply.summary() + ", " + version);
    }

    private String bookingKey(int index) {
        return "killed-" + seed + "-" + index;
    }

    private static <T> T await(Uni<T> operation) {
        return operation.await().indefinitely();
    }
}
