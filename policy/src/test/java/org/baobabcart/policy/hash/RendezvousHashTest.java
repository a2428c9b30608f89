package org.baobabcart.policy.hash;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

class RendezvousHashTest {
    @Property(tries = 2000, seed = "7501")
    void lossOfANodeMovesOnlyItsOwnKeys(
            @ForAll @Size(min = 2, max = 20) Set<@AlphaChars @StringLength(min = 1, max = 8) String> nodes,
            @ForAll @AlphaChars String key,
            @ForAll @IntRange(min = 1, max = 3) int count,
            @ForAll int lostIndex) {
        List<String> all = List.copyOf(nodes);
        String lost = all.get(Math.floorMod(lostIndex, all.size()));
        List<String> rest = new ArrayList<>(all);
        rest.remove(lost);
        List<String> before = RendezvousHash.top(key, all, count);
        List<String> after = RendezvousHash.top(key, rest, count);
        assertThat(after, not(hasItem(lost)));
        before.stream().filter(node -> !node.equals(lost)).forEach(node -> assertThat(after, hasItem(node)));
    }

    @Property(tries = 1000, seed = "7502")
    void orderOfNodesDoesNotMatter(
            @ForAll @Size(max = 20) Set<@AlphaChars @StringLength(min = 1, max = 8) String> nodes,
            @ForAll @AlphaChars String key) {
        List<String> reversed = new ArrayList<>(nodes);
        java.util.Collections.reverse(reversed);
        assertThat(RendezvousHash.top(key, reversed, 2), is(RendezvousHash.top(key, nodes, 2)));
    }

    @Test
    void keysAreDistributedOverNodes() {
        List<String> nodes =
                IntStream.range(0, 10).mapToObj(index -> "router-" + index).toList();
        int[] keys = new int[nodes.size()];
        for (int key = 0; key < 10_000; key++) {
            keys[nodes.indexOf(RendezvousHash.top("duty/" + key, nodes, 1).get(0))]++;
        }
        assertThat(IntStream.of(keys).boxed().toList(), everyItem(greaterThan(800)));
    }
}
