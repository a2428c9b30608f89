package org.baobabcart.policy.claim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class JournalWriteRateTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int SECONDS = 20;
    private static final int CAPACITY = 4;
    private static final int WRITES_PER_SECOND = 2;

    @Property(tries = 200, seed = "4102")
    void writeRateIsLimitedAndEveryClaimIsAnswered(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 200) int claims) {
        Random random = new Random(seed);
        JournalOwner owner = JournalOwner.create();
        long now = random.nextLong() >> 8;
        long end = now + SECONDS * SECOND;
        int writes = 0;
        int answers = 0;
        int submitted = 0;
        while (now < end + SECOND) {
            if (submitted < claims && random.nextInt(4) == 0 && now < end) {
                owner = owner.submit(claim(submitted++, now));
            }
            JournalOwnerStep step = owner.proceed(now, "w" + now);
            owner = step.owner();
            answers += step.results().size();
            Optional<JournalOwnerStep.Command> command = step.command();
            if (command.orElse(null) instanceof JournalOwnerStep.Read) {
                step = owner.readSucceeded(ClaimJournal.empty(), "", now);
            } else if (command.orElse(null) instanceof JournalOwnerStep.Write) {
                step = owner.writeSucceeded(String.valueOf(++writes), now);
            } else if (command.orElse(null) instanceof JournalOwnerStep.Pause pause) {
                now += pause.delayNanos();
                step = new JournalOwnerStep(owner.resumed(), List.of(), Optional.empty());
            } else {
                now += random.nextInt((int) SECOND / 10);
                continue;
            }
            owner = step.owner();
            answers += step.results().size();
        }
        assertThat(writes, lessThanOrEqualTo(CAPACITY + WRITES_PER_SECOND * (SECONDS + 2)));
        assertThat(answers, equalTo(submitted));
    }

    private static PendingOperation claim(int number, long now) {
        ClaimKey key = ClaimKey.of("w", "s", "k" + number);
        ClaimOperation acquire = new ClaimOperation.Acquire(
                key, "digest", "a" + number, "n", ClaimSimulation.RETENTION_MILLIS, Optional.empty());
        return new PendingOperation(number, acquire, now, now + SECONDS * 2 * SECOND);
    }
}
