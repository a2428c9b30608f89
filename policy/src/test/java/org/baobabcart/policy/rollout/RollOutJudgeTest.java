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
    private static final int COMPARED_STAGE = 2;
    private static final int LAST_STAGE = 3;

    /** Good versions over a range of failure rates and ratings, a third of them with an outage that hits both. */
    @Test
    void noneOfTwoHundredGoodRollOutsIsStopped() {
        SplittableRandom random = new SplittableRandom(3101);
        SplittableRandom latencies = new SplittableRandom(3105);
        int stopped = 0;
        int done = 0;
        for (int index = 0; index < ROLL_OUTS; index++) {
            double failures = 0.05 * random.nextDouble();
            double rating = 0.6 + 0.35 * random.nextDouble();
            double latencyLoss = 0.02 + 0.43 * latencies.nextDouble();
            int outageAt = index % 3 == 0 ? 5 + random.nextInt(80) : Integer.MAX_VALUE;
            RollOutSimulation.Result result = new RollOutSimulation(
                            good(failures, rating, latencyLoss, outageAt, COMPARED_STAGE), random.nextLong())
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
        // failures of the bad version, its rating, the second in which it turns bad, greatest number of exposures
        "0.01, 0.2, 0, 40",
        "0.01, 0.2, 15, 50",
        "0.50, 0.9, 0, 50",
        "0.50, 0.9, 15, 60",
        "0.20, 0.9, 0, 210",
        "0.01, 0.6, 0, 65",
    })
    void aBadVersionIsStoppedAtTenPercentAfterFewExposures(
            double failures, double rating, int turnsBadAt, int greatestExposures) {
        int[] exposures = new int[BAD_ROLL_OUTS];
        SplittableRandom random = new SplittableRandom(3102);
        for (int index = 0; index < BAD_ROLL_OUTS; index++) {
            RollOutSimulation.Result result =
                    new RollOutSimulation(turnsBad(failures, rating, turnsBadAt), random.nextLong()).run(600);
            assertThat(result.stopReason().isPresent(), is(true));
            assertThat(result.stage(), equalTo(0));
            exposures[index] = result.badExposures();
        }
        Arrays.sort(exposures);
        System.out.printf(
                "roll-outs: bad failures %.2f rating %.2f from second %d: exposures median %d, 95th %d, greatest %d%n",
                failures, rating, turnsBadAt, exposures[BAD_ROLL_OUTS / 2], exposures[94], exposures[99]);
        assertThat(exposures[BAD_ROLL_OUTS - 1], lessThanOrEqualTo(greatestExposures));
    }

    /** Answers stay right and whole, and take as long as their objective allows. */
    @ParameterizedTest
    @CsvSource({
        // mean loss by time of the bad version, the second in which it turns bad, a fifth of the exposures by the clock
        "0.5, 0, 205",
        "0.5, 15, 190",
    })
    void aVersionThatTurnsSlowIsStoppedWithAFifthOfTheExposuresByTheClock(
            double latencyLoss, int turnsSlowAt, int greatestExposures) {
        int[] exposures = new int[BAD_ROLL_OUTS];
        SplittableRandom random = new SplittableRandom(3104);
        for (int index = 0; index < BAD_ROLL_OUTS; index++) {
            RollOutSimulation.Result result =
                    new RollOutSimulation(turnsSlow(latencyLoss, turnsSlowAt), random.nextLong()).run(600);
            assertThat(result.stopReason().isPresent(), is(true));
            exposures[index] = result.badExposures();
        }
        Arrays.sort(exposures);
        System.out.printf(
                "roll-outs: slow, loss %.2f from second %d: exposures median %d, 95th %d, greatest %d%n",
                latencyLoss, turnsSlowAt, exposures[BAD_ROLL_OUTS / 2], exposures[94], exposures[99]);
        assertThat(exposures[BAD_ROLL_OUTS - 1], lessThanOrEqualTo(greatestExposures));
    }

    /** The window finds what the whole stage would find late: many good answers come before the bad ones. */
    @Test
    void aVersionThatTurnsBadInALaterStageIsStoppedAsWell() {
        SplittableRandom random = new SplittableRandom(3103);
        int greatest = 0;
        for (int index = 0; index < BAD_ROLL_OUTS; index++) {
            RollOutSimulation.Result result =
                    new RollOutSimulation(turnsBad(0.01, 0.2, 45), random.nextLong()).run(600);
            assertThat(result.stopReason().isPresent(), is(true));
            assertThat(result.stage(), greaterThan(0));
            greatest = Math.max(greatest, result.badExposures());
        }
        System.out.printf("roll-outs: bad from second 45: greatest exposures %d%n", greatest);
        assertThat(greatest, lessThanOrEqualTo(150));
    }

    /** With nothing to compare, fixed limits apply, and what hits all versions stops the roll-out as well. */
    @Test
    void anOutageStopsTheLastStageWhereNothingIsCompared() {
        RollOutSimulation.Result result = new RollOutSimulation(outageFrom(52), 1).run(600);
        assertThat(result.stopReason().isPresent(), is(true));
        assertThat(result.stage(), equalTo(LAST_STAGE));
    }

    @Test
    void withoutRatingsAStageIsHeldAndFailuresStillStopIt() {
        RollOutSimulation.Result held = new RollOutSimulation(unrated(0.01), 1).run(120);
        RollOutSimulation.Result stopped = new RollOutSimulation(unrated(0.6), 1).run(120);
        assertThat(held.stage(), equalTo(0));
        assertThat(held.stopReason().isPresent(), is(false));
        assertThat(stopped.stopReason().isPresent(), is(true));
    }

    private static RollOutSimulation.Behaviour good(
            double failures, double rating, double latencyLoss, int outageAt, int lastOutageStage) {
        return new RollOutSimulation.Behaviour() {
            @Override
            public double failures(boolean newVersion, int second, int stage) {
                boolean outage = second >= outageAt && second < outageAt + 10 && stage <= lastOutageStage;
                return outage ? 0.5 : failures;
            }

            @Override
            public double latencyLoss(boolean newVersion, int second, int stage) {
                boolean outage = second >= outageAt && second < outageAt + 10 && stage <= lastOutageStage;
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

    private static RollOutSimulation.Behaviour turnsBad(double badFailures, double badRating, int turnsBadAt) {
        return new RollOutSimulation.Behaviour() {
            @Override
            public double failures(boolean newVersion, int second, int stage) {
                return newVersion && bad(second) ? badFailures : 0.01;
            }

            @Override
            public double rating(boolean newVersion, int second) {
                return newVersion && bad(second) ? badRating : 0.9;
            }

            @Override
            public boolean bad(int second) {
                return second >= turnsBadAt;
            }
        };
    }

    private static RollOutSimulation.Behaviour turnsSlow(double slowLoss, int turnsSlowAt) {
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
                return newVersion && bad(second) ? slowLoss : 0.1;
            }

            @Override
            public boolean bad(int second) {
                return second >= turnsSlowAt;
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
            public boolean rated(int second) {
                return false;
            }
        };
    }
}
