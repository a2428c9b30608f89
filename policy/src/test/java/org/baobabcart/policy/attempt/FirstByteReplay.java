package org.baobabcart.policy.attempt;

import java.util.Comparator;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.baobabcart.policy.cascade.FirstByteEstimator;

/**
 * Simulates the prompts of many routers at engines that read one prompt after another, in virtual time. An engine drops
 * an attempt that was replaced before it was read. Not thread-safe.
 */
final class FirstByteReplay {
    private static final double END_MILLIS = 60_000;
    private static final int ENGINES = 36;
    private static final int ROUTERS = 30;
    private static final int MAX_ATTEMPTS = 3;
    private static final double SHORT_MILLIS = 15;
    private static final double SHORT_TARGET_MILLIS = 1_000;
    private static final double LONG_MILLIS = 600;
    private static final double LONG_DEVIATION = 1.2;
    private static final double MAX_LONG_MILLIS = 5_000;
    private static final double LONG_TARGET_MILLIS = 6_000;
    /** The multiple of the target after which the rule before replaces an attempt. */
    private static final double LOST_AFTER_TARGETS = 3;

    private static final int TOKENS_PER_MILLI = 60;
    private static final double NANOS_PER_MILLI = 1e6;

    /** The rule that replaces attempts. */
    enum Rule {
        /** After three times the target. */
        PREVIOUS,
        /** By {@link FirstBytePolicy} if it applies. */
        CURRENT
    }

    /** The prompts of all routers together. */
    enum Load {
        /** A few long prompts among many short ones. */
        FEW_LONG(600, 10),
        /** Long prompts take up half of the engines' time. */
        HALF_LONG(600, 25),
        /** More than the engines can read. */
        OVERLOAD(1_500, 40);

        private final double shortPerSecond;
        private final double longPerSecond;

        Load(double shortPerSecond, double longPerSecond) {
            this.shortPerSecond = shortPerSecond;
            this.longPerSecond = longPerSecond;
        }
    }

    /** The shares of prompts that are read within their targets, and the attempts for each prompt. */
    record Outcome(double timelyShort, double timelyLong, double attempts) {}

    private record Event(double atMillis, Runnable action) {}

    private final Rule rule;
    private final SplittableRandom random;
    private final FirstByteEstimator[] estimators = new FirstByteEstimator[ROUTERS];
    private final Engine[] engines = new Engine[ENGINES];
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMillis));
    private final int[] timely = new int[2];
    private final int[] all = new int[2];
    private int attempts;
    private double nowMillis;

    private FirstByteReplay(Rule rule, long seed) {
        this.rule = rule;
        this.random = new SplittableRandom(seed);
        for (int router = 0; router < ROUTERS; router++) {
            estimators[router] = FirstByteEstimator.create();
        }
        for (int engine = 0; engine < ENGINES; engine++) {
            engines[engine] = new Engine();
        }
    }

    static Outcome run(Rule rule, Load load, long seed) {
        return new FirstByteReplay(rule, seed).simulate(load, new SplittableRandom(seed + 1));
    }

    private Outcome simulate(Load load, SplittableRandom arrivals) {
        addArrivals(load.shortPerSecond, false, arrivals);
        addArrivals(load.longPerSecond, true, arrivals);
        while (!events.isEmpty()) {
            Event event = events.poll();
            nowMillis = event.atMillis();
            event.action().run();
        }
        return new Outcome(
                timely[0] / (double) all[0], timely[1] / (double) all[1], attempts / (double) (all[0] + all[1]));
    }

    private void addArrivals(double perSecond, boolean isLong, SplittableRandom arrivals) {
        double millis = 0;
        while (millis < END_MILLIS) {
            millis += -Math.log(1 - arrivals.nextDouble()) * 1_000 / perSecond;
            double normal = arrivals.nextGaussian() * LONG_DEVIATION - LONG_DEVIATION * LONG_DEVIATION / 2;
            double readMillis = isLong
                    ? Math.min(MAX_LONG_MILLIS, LONG_MILLIS * Math.exp(normal))
                    : SHORT_MILLIS * (0.5 + arrivals.nextDouble());
            Prompt prompt = new Prompt(millis, readMillis, isLong, arrivals.nextInt(ROUTERS));
            events.add(new Event(millis, prompt::send));
        }
    }

    private static final class Engine {
        private double freeAtMillis;
    }

    private final class Prompt {
        private final double arrivalMillis;
        private final double readMillis;
        private final boolean isLong;
        private final int router;
        private int sent;

        private Prompt(double arrivalMillis, double readMillis, boolean isLong, int router) {
            this.arrivalMillis = arrivalMillis;
            this.readMillis = readMillis;
            this.isLong = isLong;
            this.router = router;
        }

        private void send() {
            Engine engine = engines[random.nextInt(ENGINES)];
            double sentMillis = nowMillis;
            double startMillis = Math.max(nowMillis, engine.freeAtMillis);
            double endMillis = startMillis + readMillis;
            sent++;
            attempts++;
            double replaceMillis = nowMillis + timeoutMillis();
            if (sent < MAX_ATTEMPTS && replaceMillis < startMillis) {
                events.add(new Event(replaceMillis, this::send));
                return;
            }
            engine.freeAtMillis = endMillis;
            if (sent < MAX_ATTEMPTS && replaceMillis < endMillis) {
                events.add(new Event(replaceMillis, this::send));
                return;
            }
            events.add(new Event(endMillis, () -> end(endMillis - sentMillis)));
        }

        private double timeoutMillis() {
            double lostMillis = LOST_AFTER_TARGETS * targetMillis();
            if (rule == Rule.PREVIOUS) {
                return lostMillis;
            }
            double expected = estimators[router].expectedNanos("model", kind(), tokens(), nanos(nowMillis));
            OptionalDouble early = FirstBytePolicy.replaceAfterNanos(
                    (arrivalMillis + targetMillis() - nowMillis) * NANOS_PER_MILLI, expected);
            return early.isPresent() ? early.getAsDouble() / NANOS_PER_MILLI : lostMillis;
        }

        private void end(double tookMillis) {
            boolean inTime = nowMillis - arrivalMillis <= targetMillis();
            estimators[router].observe(
                    "model", kind(), tokens(), tookMillis * NANOS_PER_MILLI, !inTime, nanos(nowMillis));
            all[isLong ? 1 : 0]++;
            timely[isLong ? 1 : 0] += inTime ? 1 : 0;
        }

        private double targetMillis() {
            return isLong ? LONG_TARGET_MILLIS : SHORT_TARGET_MILLIS;
        }

        private String kind() {
            return isLong ? "long" : "short";
        }

        private int tokens() {
            return (int) (readMillis * TOKENS_PER_MILLI);
        }
    }

    private static long nanos(double millis) {
        return (long) (millis * NANOS_PER_MILLI);
    }
}
