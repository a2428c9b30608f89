package org.baobabcart.policy.attempt;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.baobabcart.model.gateway.RetryPolicy;
import org.baobabcart.model.result.Ran;

/** Tests random orders of sends, failures and answers against a model of what the upstream actually ran. */
class AttemptHistoryTest {
    /** An event of a request. */
    enum Step {
        SEND,
        END_NOT_RUN,
        END_LOST_BEFORE_IT_RAN,
        END_LOST_AFTER_IT_RAN,
        ANSWER
    }

    @Property
    void reportThatARequestHasNotRunIsTrue(@ForAll RetryPolicy repeat, @ForAll @Size(max = 12) List<Step> steps) {
        RequestModel model = run(repeat, steps);
        if (model.history.mayReportNotRun()) {
            assertThat(model.runs, is(0));
            assertThat(model.mayStillRun, is(false));
        }
    }

    @Property
    void nonRepeatableRequestRunsAtMostOnce(@ForAll @Size(max = 12) List<Step> steps) {
        assertThat(run(RetryPolicy.ONCE, steps).runs, lessThanOrEqualTo(1));
        assertThat(run(RetryPolicy.STREAM_ONCE, steps).runs, lessThanOrEqualTo(1));
    }

    @Property
    void atMostOneAttemptIsOpen(@ForAll RetryPolicy repeat, @ForAll @Size(max = 12) List<Step> steps) {
        assertThat(run(repeat, steps).history.open(), lessThanOrEqualTo(1));
    }

    private static RequestModel run(RetryPolicy repeat, List<Step> steps) {
        RequestModel model = new RequestModel(AttemptHistory.of(repeat));
        steps.forEach(model::step);
        return model;
    }

    /** A request, with the number of times that upstreams actually ran it. */
    private static final class RequestModel {
        private AttemptHistory history;
        private int runs;
        private boolean mayStillRun;

        private RequestModel(AttemptHistory history) {
            this.history = history;
        }

        private void step(Step step) {
            if (step == Step.SEND) {
                if (history.maySend()) {
                    history = history.withSend();
                    mayStillRun = true;
                }
                return;
            }
            if (history.open() == 0) {
                return;
            }
            mayStillRun = false;
            switch (step) {
                case END_NOT_RUN -> history = history.withEnd(Ran.NO);
                case END_LOST_BEFORE_IT_RAN -> history = history.withEnd(Ran.UNKNOWN);
                case END_LOST_AFTER_IT_RAN -> {
                    runs++;
                    history = history.withEnd(Ran.UNKNOWN);
                }
                default -> {
                    runs++;
                    history = history.withEnd(Ran.UNKNOWN);
                }
            }
        }
    }
}
