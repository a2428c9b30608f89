package org.baobabcart.router.view;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import org.baobabcart.router.testing.ManualExecutor;
import org.junit.jupiter.api.Test;

class FeedbackQueueTest {
    private final ManualExecutor loop = ManualExecutor.create();
    private final MetricRegistry metrics = new MetricRegistry();
    private final FeedbackQueue queue = FeedbackQueue.create(loop, metrics);

    @Test
    void observationsArriveInOrderDespiteAFailingListener() {
        List<String> received = new ArrayList<>();
        queue.addListener(new FeedbackListener() {
            @Override
            public void unreachable(String upstream) {
                throw new IllegalStateException("expected by the test");
            }
        });
        queue.addListener(new FeedbackListener() {
            @Override
            public void unreachable(String upstream) {
                received.add(upstream);
            }
        });
        queue.unreachable("first");
        queue.unreachable("second");
        loop.runAll();
        queue.unreachable("third");
        loop.runAll();
        assertThat(received, contains("first", "second", "third"));
    }

    @Test
    void fullQueueDropsAndCountsObservations() {
        for (int observation = 0; observation < 10_000; observation++) {
            queue.unreachable("upstream");
        }
        assertThat(metrics.counter("feedback.dropped").getCount(), greaterThan(0L));
        int[] delivered = new int[1];
        queue.addListener(new FeedbackListener() {
            @Override
            public void unreachable(String upstream) {
                delivered[0]++;
            }
        });
        loop.runAll();
        assertThat(delivered[0] + metrics.counter("feedback.dropped").getCount(), is(10_000L));
    }
}
