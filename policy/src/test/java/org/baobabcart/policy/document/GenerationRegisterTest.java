package org.baobabcart.policy.document;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class GenerationRegisterTest {
    private static final int NODES = 4;

    @Property(tries = 2000, seed = "7201")
    void orderAndRepetitionOfOffersDoNotMatter(
            @ForAll @Size(max = 20) List<@IntRange(min = 1, max = 9) Integer> generations, @ForAll long shuffle) {
        List<Integer> reordered = new ArrayList<>(generations);
        reordered.addAll(generations);
        Collections.shuffle(reordered, new Random(shuffle));
        assertThat(offered(reordered), is(offered(generations)));
    }

    @Property(tries = 3000, seed = "7202")
    void generationsNeverDecreaseAndNodesConvergeOnceConnected(
            @ForAll @Size(max = 120) List<@IntRange(max = 99) Integer> steps) {
        List<GenerationRegister<String>> nodes = emptyNodes();
        long published = 0;
        for (int step : steps) {
            int node = step % NODES;
            int peer = (step / NODES) % NODES;
            if (step < 10) {
                published++;
            } else if (step < 30) {
                set(nodes, node, published == 0 ? nodes.get(node) : offer(nodes.get(node), published));
            } else if (step < 36) {
                nodes.set(node, GenerationRegister.empty());
            } else {
                pull(nodes, node, peer);
            }
        }
        long newest =
                nodes.stream().mapToLong(GenerationRegister::generation).max().orElseThrow();
        connectAll(nodes);
        nodes.forEach(node -> assertThat(node.generation(), is(newest)));
        assertThat(nodes.stream().distinct().count(), is(1L));
    }

    private static List<GenerationRegister<String>> emptyNodes() {
        List<GenerationRegister<String>> nodes = new ArrayList<>();
        for (int node = 0; node < NODES; node++) {
            nodes.add(GenerationRegister.empty());
        }
        return nodes;
    }

    private static void connectAll(List<GenerationRegister<String>> nodes) {
        for (int round = 0; round < NODES; round++) {
            for (int node = 0; node < NODES; node++) {
                pull(nodes, node, (node + 1) % NODES);
            }
        }
    }

    private static void pull(List<GenerationRegister<String>> nodes, int node, int peer) {
        GenerationRegister<String> from = nodes.get(peer);
        from.content().ifPresent(content -> set(nodes, node, nodes.get(node).offer(from.generation(), content)));
    }

    private static void set(List<GenerationRegister<String>> nodes, int node, GenerationRegister<String> next) {
        assertThat(next.generation(), greaterThanOrEqualTo(nodes.get(node).generation()));
        nodes.set(node, next);
    }

    private static GenerationRegister<String> offered(List<Integer> generations) {
        GenerationRegister<String> register = GenerationRegister.empty();
        for (int generation : generations) {
            register = offer(register, generation);
        }
        return register;
    }

    private static GenerationRegister<String> offer(GenerationRegister<String> register, long generation) {
        return register.offer(generation, "document " + generation);
    }
}
