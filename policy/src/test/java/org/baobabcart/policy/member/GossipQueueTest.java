package org.baobabcart.policy.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class GossipQueueTest {
    @Property(tries = 500, seed = "7601")
    void everyStatementIsSentOftenEnoughAndMessagesAreBounded(
            @ForAll @IntRange(max = 30) int items,
            @ForAll @IntRange(min = 1, max = 8) int limit,
            @ForAll @IntRange(min = 1, max = 500) int fleetSize) {
        GossipQueue queue = GossipQueue.create();
        for (int item = 0; item < items; item++) {
            queue.add(statement("node-" + item, 1));
        }
        Map<String, Integer> sent = new HashMap<>();
        List<Integer> sizes = new ArrayList<>();
        List<MemberStatement> taken = queue.take(limit, fleetSize);
        while (!taken.isEmpty()) {
            sizes.add(taken.size());
            taken.forEach(statement -> sent.merge(statement.nodeId(), 1, Integer::sum));
            taken = queue.take(limit, fleetSize);
        }
        assertThat(sizes, everyItem(lessThanOrEqualTo(limit)));
        assertThat(sent.size(), is(items));
        assertThat(sent.values(), everyItem(is(GossipQueue.sendsPerStatement(fleetSize))));
    }

    @Test
    void newStatementReplacesOlderOneAboutTheSameMember() {
        GossipQueue queue = GossipQueue.create();
        queue.add(statement("node", 1));
        queue.add(statement("node", 2));
        assertThat(queue.take(8, 1), is(List.of(statement("node", 2))));
    }

    @Test
    void emptyQueueReturnsNoStatements() {
        assertThat(GossipQueue.create().take(8, 100), is(empty()));
    }

    private static MemberStatement statement(String nodeId, long incarnation) {
        return new MemberStatement(nodeId, incarnation, Liveness.ALIVE, "dc", "host:1", "");
    }
}
