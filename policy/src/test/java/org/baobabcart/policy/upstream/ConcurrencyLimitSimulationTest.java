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

/** Routers with more work than an engine can take share it without filling its own waiting line. */
class ConcurrencyLimitSimulationTest {
    private static final int ROUNDS = 40;
    private static final int WARM_UP_ROUNDS = 10;

    @Property(tries = 200, seed = "7405")
    void littleWaitsAtTheEngineAndItsSlotsAreUsed(
            @ForAll @IntRange(min = 1, max = 6) int routers,
            @ForAll @IntRange(min = 6, max = 48) int slots,
            @ForAll long seed) {
        Engine engine = new Engine(routers, slots, new Random(seed));
        engine.answer(WARM_UP_ROUNDS * slots);
        engine.startCounting();
        engine.answer(ROUNDS * slots);
        assertThat(engine.meanWaiting(), lessThanOrEqualTo((double) routers));
        assertThat(engine.meanRunning(), greaterThanOrEqualTo(0.9 * slots));
    }

    /** An engine that runs the eldest requests and ends one of them at random; each router keeps its limit full. */
    private static final class Engine {
        private final int slots;
        private final Random random;
        private final ConcurrencyLimit[] limits;
        private final int[] inFlight;
        private final List<Integer> running = new ArrayList<>();
        private final Deque<Integer> waiting = new ArrayDeque<>();
        private long answers;
        private long waitingSum;
        private long runningSum;

        private Engine(int routers, int slots, Random random) {
            this.slots = slots;
            this.random = random;
            this.limits = new ConcurrencyLimit[routers];
            this.inFlight = new int[routers];
            Arrays.fill(limits, ConcurrencyLimit.initial());
        }

        private void answer(int count) {
            for (int index = 0; index < count; index++) {
                fill();
                answerOne();
            }
        }

        private void fill() {
            boolean added = true;
            while (added) {
                added = false;
                for (int router = 0; router < limits.length; router++) {
                    if (inFlight[router] < limits[router].whole()) {
                        inFlight[router]++;
                        waiting.add(router);
                        added = true;
                    }
                }
            }
            run();
            waitingSum += waiting.size();
            runningSum += running.size();
            answers++;
        }

        private void run() {
            while (running.size() < slots && !waiting.isEmpty()) {
                running.add(waiting.remove());
            }
        }

        private void answerOne() {
            int router = running.remove(random.nextInt(running.size()));
            run();
            LoadReport report = new LoadReport(running.size(), waiting.size(), slots);
            limits[router] = limits[router].withReport(report, inFlight[router]);
            inFlight[router]--;
        }

        private void startCounting() {
            answers = 0;
            waitingSum = 0;
            runningSum = 0;
        }

        private double meanWaiting() {
            return (double) waitingSum / answers;
        }

        private double meanRunning() {
            return (double) runningSum / answers;
        }
    }
}
