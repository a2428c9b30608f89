package org.baobabcart.policy.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class EvidenceTableTest {
    private static final long EPOCH = 5;

    @Property(seed = "2201", tries = 200)
    void pooledTotalsDoNotDependOnOrderOrDuplicates(
            @ForAll @Size(max = 30) List<@IntRange(min = 0, max = 3) Integer> nodes,
            @ForAll @IntRange(min = 1, max = 1_000_000) int seed) {
        List<EvidenceEntry> deliveries = new ArrayList<>();
        EvidenceTable source = EvidenceTable.empty();
        for (int index = 0; index < nodes.size(); index++) {
            String node = "node-" + nodes.get(index);
            VersionTotals next = source.nodeTotals("model", "v2", node, EPOCH).withOutcome(index % 3 == 0);
            EvidenceEntry entry = new EvidenceEntry("model", "v2", node, EPOCH, next.withRating(0.5));
            source = source.merged(entry);
            deliveries.add(entry);
            deliveries.add(entry);
        }
        Collections.shuffle(deliveries, new Random(seed));
        EvidenceTable received = EvidenceTable.empty();
        for (EvidenceEntry entry : deliveries) {
            received = received.merged(entry);
        }
        VersionTotals pooled = received.pooled("model", "v2", EPOCH);
        assertThat(pooled.outcomes(), equalTo((long) nodes.size()));
        assertThat(pooled.ratings(), equalTo((long) nodes.size()));
        assertThat(received.retaining(epoch -> epoch != EPOCH).entries().isEmpty(), equalTo(true));
    }
}
