package org.baobabcart.policy.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Arrays;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RollOutJudgeTest {
    private static final int ROLL_OUTS = 200;
    private static final int BAD_ROLL_OUTS = 100;
    private static final int LAST_COMPARED_STAGE = 2;
    private static final int LAST_STAGE = 3;

    /**
     * Good versions with various failure rates and ratings; a third of the roll-outs has an outage that affects both
     * versions.
     */
    @Test
    void completesTwoHundredGoodRollOuts() {
        SplittableRandom random = new SplittableRandom(3101);
        SplittableRandom latencies = new SplittableRandom(3105);
        int stopped = 0;
        int done = 0;
        for (int index = 0; index < ROLL_OUTS; index++) {
            double failures = 0.05 * random.nextDouble();
            double rating = 0.6 + 0.35 * random.nextDouble();
            double latencyLoss = 0.02 + 0.43 * latencies.nextDouble();
            int outageStart = index % 3 == 0 ? 5 + random.nextInt(80) : Integer.MAX_VALUE;
            RollOutSimulation.Result result = new RollOutSimulation(
                            good(failures, rating, latencyLoss, outageStart, LAST_COMPARED_STAGE), random.nextLong())
                    .run(600);
            stopped += result.stopReason().isPresent() ? 1 : 0;
            done += result.stopReason().isEmpty() && result.seconds() < 600 ? 1 : 0;
        }
        System.out.printf("roll-outs: good %d stopped %d done %d%n", ROLL_OUTS, stopped, done);
        assertThat(stopped, equalTo(0));
        assertThat(done, equalTo(ROLL_OUTS));
    }

    @ParameterizedTest
    @CsvSource({
        // failure rate of the bad version, its rating, the second from which it is bad, maximum number of exposures
        "0.01, 0.2, 0, 40",
        "0.01, 0.2, 15, 50",
        "0.50, 0.9, 0, 50",
        "0.50, 0.9, 15, 60",
        "0.20, 0.9, 0, 210",
        "0.01, 0.6, 0, 65",
    })
    void stopsBadVersionInFirstStageAfterFewExposures(
            double failures, double rating, int badFromSecond, int maxExposures) {
        int[] exposures = new int[BAD_ROLL_OUTS];
        SplittableRandom random = new SplittableRandom(3102);
        for (int index = 0; index < BAD_ROLL_OUTS; index++) {
            RollOutSimulation.Result result =
                    new RollOutSimulation(badFrom(failures, rating, badFromSecond), random.nextLong()).run(600);
            assertThat(result.stopReason().isPresent(), is(true));
            assertThat(result.stage(), equalTo(0));
            exposures[index] = result.badExposures();
        }
        Arrays.sort(exposures);
        System.out.printf(
                "roll-outs: bad failures %.2f rating %.2f from second %d: exposures median %d, 95th %d, greatest %d%n",
                failures, rating, badFromSecond, exposures[BAD_ROLL_OUTS / 2], exposures[94], exposures[99]);
        assertThat(exposures[BAD_ROLL_OUTS - 1], lessThanOrEqualTo(maxExposures));
    }

    /**
     * Answers stay correct and complete, but take exactly as long as their objective allows. The limits are a fifth of
     * the exposures that occur if the stage ends by time alone.
     */
    @ParameterizedTest
    @CsvSource({
        // mean latency loss of the bad version, the second from which it is bad, a fifth of the exposures without a
        // latency test
        "0.5, 0, 205",
        "0.5, 15, 190",
    })
    void stopsSlowVersion(double latencyLoss, int slowFromSecond, int maxExposures) {
        int[] exposures = new int[BAD_ROLL_OUTS];
        SplittableRandom random = new SplittableRandom(3104);
        for (int index = 0; index < BAD_ROLL_OUTS; index++) {
            RollOutSimulation.Result result =
                    new RollOutSimulation(slowFrom(latencyLoss, slowFromSecond), random.nextLong()).run(600);
            assertThat(result.stopReason().isPresent(), is(true));
            exposures[index] = result.badExposures();
        }
        Arrays.sort(exposures);
        System.out.printf(
                "roll-outs: slow, loss %.2f from second %d: exposures median %d, 95th %d, greatest %d%n",
                latencyLoss, slowFromSecond, exposures[BAD_ROLL_OUTS / 2], exposures[94], exposures[99]);
        assertThat(exposures[BAD_ROLL_OUTS - 1], lessThanOrEqualTo(maxExposures));
    }

    /** Only a recent window detects this early, since in the whole stage many good answers precede the bad ones. */
    @Test
    void stopsVersionThatTurnsBadInLaterStage() {
        SplittableRandom random = new SplittableRandom(3103);
        int maxObserved = 0;
        for (int index = 0; index < BAD_ROLL_OUTS; index++) {
            RollOutSimulation.Result result = new RollOutSimulation(badFrom(0.01, 0.2, 45), random.nextLong()).run(600);
            assertThat(result.stopReason().isPresent(), is(true));
            assertThat(result.stage(), greaterThan(0));
            maxObserved = Math.max(maxObserved, result.badExposures());
        }
        System.out.printf("roll-outs: bad from second 45: greatest exposures %d%n", maxObserved);
        assertThat(maxObserved, lessThanOrEqualTo(150));
    }

    /**
     * Without an old version to compare with, fixed limits apply, so that an outage of all versions stops the roll-out
     * too.
     */
    @Test
    void outageStopsLastStageWithoutComparison() {
        RollOutSimulation.Result result = new RollOutSimulation(outageFrom(52), 1).run(600);
        assertThat(result.stopReason().isPresent(), is(true));
        assertThat(result.stage(), equalTo(LAST_STAGE));
    }

    @Test
    void withoutRatingsHoldsStageAndStopsOnFailures() {
        RollOutSimulation.Result held = new RollOutSimulation(unrated(0.01), 1).run(120);
        RollOutSimulation.Result stopped = new RollOutSimulation(unrated(0.6), 1).run(120);
        assertThat(held.stage(), equalTo(0));
        assertThat(held.stopReason().isPresent(), is(false));
        assertThat(stopped.stopReason().isPresent(), is(true));
    }

    private static RollOutSimulation.Behaviour good(
            double failures, double rating, double latencyLoss, int outageStart, int lastOutageStage) {
        return new RollOutSimulation.Behaviour() {
            @Override
            public double failures(boolean newVersion, int second, int stage) {
                boolean outage = second >= outageStart && second < outageStart + 10 && stage <= lastOutageStage;
                return outage ? 0.5 : failures;
            }

            @Override
            public double latencyLoss(boolean newVersion, int second, int stage) {
                boolean outage = second >= outageStart && second < outageStart + 10 && stage <= lastOutageStage;
                return outage ? 0.5 : latencyLoss;
            }

            @Override
            public double rating(boolean newVersion, int second) {
                return rating;
            }
        };
    }

    private static RollOutSimulation.Behaviour outageFrom(int second) {
        return good(0.01, 0.9, 0.1, second, LAST_STAGE);
    }

    private static RollOutSimulation.Behaviour badFrom(double badFailures, double badRating, int badFromSecond) {
        return new RollOutSimulation.Behaviour() {
            @Override
            public double failures(boolean newVersion, int second, int stage) {
                return newVersion && isBad(second) ? badFailures : 0.01;
            }

            @Override
            public double rating(boolean newVersion, int second) {
                return newVersion && isBad(second) ? badRating : 0.9;
            }

            @Override
            public boolean isBad(int second) {
                return second >= badFromSecond;
            }
        };
    }

    private static RollOutSimulation.Behaviour slowFrom(double slowLoss, int slowFromSecond) {
        return new RollOutSimulation.Behaviour() {
            @Override
            public double failures(boolean newVersion, int second, int stage) {
                return 0.01;
            }

            @Override
            public double rating(boolean newVersion, int second) {
                return 0.9;
            }

            @Override
            public double latencyLoss(boolean newVersion, int second, int stage) {
                return newVersion && isBad(second) ? slowLoss : 0.1;
            }

            @Override
            public boolean isBad(int second) {
                return second >= slowFromSecond;
            }
        };
    }

    private static RollOutSimulation.Behaviour unrated(double newFailures) {
        return new RollOutSimulation.Behaviour() {
            @Override
            public double failures(boolean newVersion, int second, int stage) {
                return newVersion ? newFailures : 0.01;
            }

            @Override
            public double rating(boolean newVersion, int second) {
                return 0.9;
            }

            @Override
            public boolean isRated(int second) {
                return false;
            }
        };
    }
}
