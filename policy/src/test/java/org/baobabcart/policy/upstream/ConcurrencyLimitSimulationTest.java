package org.baobabcart.policy.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/** Simulates routers with more work than an engine can run: they use its slots without filling its queue. */
class ConcurrencyLimitSimulationTest {
    private static final int ROUNDS = 40;
    private static final int WARM_UP_ROUNDS = 10;

    @Property(tries = 200, seed = "7405")
    void slotsAreUsedWithAShortQueueAtTheEngine(
            @ForAll @IntRange(min = 1, max = 6) int routers,
            @ForAll @IntRange(min = 6, max = 48) int slots,
            @ForAll long seed) {
        Engine engine = new Engine(routers, slots, new Random(seed));
        engine.completeMany(WARM_UP_ROUNDS * slots);
        engine.resetSamples();
        engine.completeMany(ROUNDS * slots);
        assertThat(engine.meanWaiting(), lessThanOrEqualTo((double) routers));
        assertThat(engine.meanRunning(), greaterThanOrEqualTo(0.9 * slots));
    }

    /**
     * An engine that runs the oldest requests and completes a random one; each router sends as much as its limit
     * allows.
     */
    private static final class Engine {
        private final int slots;
        private final Random random;
        private final ConcurrencyLimit[] limits;
        private final int[] inFlight;
        private final List<Integer> running = new ArrayList<>();
        private final Deque<Integer> waiting = new ArrayDeque<>();
        private long samples;
        private long waitingSum;
        private long runningSum;

        private Engine(int routers, int slots, Random random) {
            this.slots = slots;
            this.random = random;
            this.limits = new ConcurrencyLimit[routers];
            this.inFlight = new int[routers];
            Arrays.fill(limits, ConcurrencyLimit.initial());
        }

        private void completeMany(int count) {
            for (int index = 0; index < count; index++) {
                sendAll();
                completeOne();
            }
        }

        private void sendAll() {
            boolean added = true;
            while (added) {
                added = false;
                for (int router = 0; router < limits.length; router++) {
                    if (inFlight[router] < limits[router].maximumInFlight()) {
                        inFlight[router]++;
                        waiting.add(router);
                        added = true;
                    }
                }
            }
            startWaiting();
            waitingSum += waiting.size();
            runningSum += running.size();
            samples++;
        }

        private void startWaiting() {
            while (running.size() < slots && !waiting.isEmpty()) {
                running.add(waiting.remove());
            }
        }

        private void completeOne() {
            int router = running.remove(random.nextInt(running.size()));
            startWaiting();
            LoadReport report = new LoadReport(running.size(), waiting.size(), slots);
            limits[router] = limits[router].withReport(report, inFlight[router]);
            inFlight[router]--;
        }

        private void resetSamples() {
            samples = 0;
            waitingSum = 0;
            runningSum = 0;
        }

        private double meanWaiting() {
            return (double) waitingSum / samples;
        }

        private double meanRunning() {
            return (double) runningSum / samples;
        }
    }
}
