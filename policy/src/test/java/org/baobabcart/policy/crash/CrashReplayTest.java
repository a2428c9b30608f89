package org.baobabcart.policy.crash;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Requests with a part that crashes engines reach fleets of several sizes; few engines crash, and sound requests are served. */
class CrashReplayTest {
    private static final int MAX_CRASHES = 8;
    private static final int MAX_SENT_LATE = 3;
    private static final int SEEDS = 10;

    @ParameterizedTest
    @CsvSource({"4, 0.5", "4, 2", "37, 0.5", "37, 2", "450, 0.5", "450, 2"})
    void fewEnginesCrashAtAnyNumberOfRouters(int routers, double crashingPerSecond) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            CrashReplay replay = new CrashReplay(
                            CrashReplay.Policy.ATTRIBUTION, routers, crashingPerSecond, 1, Set.of(), seed)
                    .run();
            assertThat("crashes, seed " + seed, replay.crashes, lessThanOrEqualTo(MAX_CRASHES));
            assertThat("sent late, seed " + seed, replay.sentLate, lessThanOrEqualTo(MAX_SENT_LATE));
            assertThat("sound requests refused, seed " + seed, replay.soundRefused, lessThan(replay.soundServed / 200));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 37, 450})
    void withoutAttributionManyEnginesCrash(int routers) {
        CrashReplay replay = new CrashReplay(CrashReplay.Policy.RETRY_ONLY, routers, 2, 1, Set.of(), 1).run();
        assertThat(replay.crashes, greaterThan(MAX_CRASHES));
        assertThat(replay.sentLate, greaterThan(MAX_SENT_LATE));
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 37, 450})
    void twoPartsThatCrashEnginesAreToldApart(int routers) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            CrashReplay replay = new CrashReplay(CrashReplay.Policy.ATTRIBUTION, routers, 2, 2, Set.of(), seed).run();
            assertThat("crashes, seed " + seed, replay.crashes, lessThanOrEqualTo(2 * MAX_CRASHES));
            assertThat("sound requests refused, seed " + seed, replay.soundRefused, lessThan(replay.soundServed / 200));
        }
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 37, 450})
    void networkFaultsCondemnNoSoundPart(int routers) {
        for (long seed = 1; seed <= SEEDS; seed++) {
            Set<Integer> faults = Set.of(5_000, 5_400, 9_000, 9_100, 15_000, 20_000);
            CrashReplay replay = new CrashReplay(CrashReplay.Policy.ATTRIBUTION, routers, 0, 1, faults, seed).run();
            assertThat("crashes", replay.crashes, is(0));
            assertThat("sound requests refused, seed " + seed, replay.soundRefused, lessThan(replay.soundServed / 200));
        }
    }
}
