package org.baobabcart.policy.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.baobabcart.model.gateway.RepeatRule;
import org.baobabcart.model.result.Ran;

/** Every order of sends, ends and answers, against an upstream of which a test knows what it really ran. */
class AttemptLedgerTest {
    /** What happens next to the request. */
    enum Step {
        SEND,
        END_NOT_RUN,
        END_LOST_BEFORE_IT_RAN,
        END_LOST_AFTER_IT_RAN,
        ANSWER
    }

    @Property
    void aStatementThatARequestHasNotRunIsTrue(@ForAll RepeatRule repeat, @ForAll @Size(max = 12) List<Step> steps) {
        World world = play(repeat, steps);
        if (world.ledger.mayStateNotRun()) {
            assertThat(world.runs, is(0));
            assertThat(world.reachable, is(false));
        }
    }

    @Property
    void whatMayNotBeRepeatedRunsAtMostOnce(@ForAll @Size(max = 12) List<Step> steps) {
        assertThat(play(RepeatRule.ONCE, steps).runs, lessThanOrEqualTo(1));
        assertThat(play(RepeatRule.STREAM_ONCE, steps).runs, lessThanOrEqualTo(1));
    }

    @Property
    void atMostOneAttemptIsOpen(@ForAll RepeatRule repeat, @ForAll @Size(max = 12) List<Step> steps) {
        assertThat(play(repeat, steps).ledger.open(), lessThanOrEqualTo(1));
    }

    private static World play(RepeatRule repeat, List<Step> steps) {
        World world = new World(AttemptHistory.of(repeat));
        steps.forEach(world::step);
        return world;
    }

    /** A request and what upstreams really did with it. */
    private static final class World {
        private AttemptHistory ledger;
        private int runs;
        private boolean reachable;

        private World(AttemptHistory ledger) {
            this.ledger = ledger;
        }

        private void step(Step step) {
            if (step == Step.SEND) {
                if (ledger.maySend()) {
                    ledger = ledger.withSend();
                    reachable = true;
                }
                return;
            }
            if (ledger.open() == 0) {
                return;
            }
            reachable = false;
            switch (step) {
                case END_NOT_RUN -> ledger = ledger.withEnd(Ran.NO);
                case END_LOST_BEFORE_IT_RAN -> ledger = ledger.withEnd(Ran.UNKNOWN);
                case END_LOST_AFTER_IT_RAN -> {
                    runs++;
                    ledger = ledger.withEnd(Ran.UNKNOWN);
                }
                default -> {
                    runs++;
                    ledger = ledger.withEnd(Ran.UNKNOWN);
                }
            }
        }
    }
}
