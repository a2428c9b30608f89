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
    void theLossOfANodeMovesOnlyItsOwnDuties(
            @ForAll @Size(min = 2, max = 20) Set<@AlphaChars @StringLength(min = 1, max = 8) String> nodes,
            @ForAll @AlphaChars String duty,
            @ForAll @IntRange(min = 1, max = 3) int count,
            @ForAll int lostIndex) {
        List<String> all = List.copyOf(nodes);
        String lost = all.get(Math.floorMod(lostIndex, all.size()));
        List<String> rest = new ArrayList<>(all);
        rest.remove(lost);
        List<String> before = RendezvousHash.top(duty, all, count);
        List<String> after = RendezvousHash.top(duty, rest, count);
        assertThat(after, not(hasItem(lost)));
        before.stream().filter(node -> !node.equals(lost)).forEach(node -> assertThat(after, hasItem(node)));
    }

    @Property(tries = 1000, seed = "7502")
    void theOrderInWhichNodesAreKnownDoesNotMatter(
            @ForAll @Size(max = 20) Set<@AlphaChars @StringLength(min = 1, max = 8) String> nodes,
            @ForAll @AlphaChars String duty) {
        List<String> reversed = new ArrayList<>(nodes);
        java.util.Collections.reverse(reversed);
        assertThat(RendezvousHash.top(duty, reversed, 2), is(RendezvousHash.top(duty, nodes, 2)));
    }

    @Test
    void dutiesSpreadOverNodes() {
        List<String> nodes =
                IntStream.range(0, 10).mapToObj(index -> "router-" + index).toList();
        int[] duties = new int[nodes.size()];
        for (int duty = 0; duty < 10_000; duty++) {
            duties[nodes.indexOf(RendezvousHash.top("duty/" + duty, nodes, 1).get(0))]++;
        }
        assertThat(IntStream.of(duties).boxed().toList(), everyItem(greaterThan(800)));
    }
}
