package org.baobabcart.policy.machine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.sameInstance;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.baobabcart.model.platform.VirtualMachine;

class MachineTableTest {
    @Provide
    Arbitrary<MachineStatement> statements() {
        return Combinators.combine(
                        Arbitraries.longs().between(1, 5),
                        Arbitraries.of("a", "b", "c"),
                        Arbitraries.of(VirtualMachine.State.class).injectNull(0.3),
                        Arbitraries.of("v1", "v2"))
                .as((clock, name, state, version) -> state == null
                        ? MachineStatement.absent(clock, name)
                        : MachineStatement.present(
                                clock,
                                new VirtualMachine(
                                        name, VirtualMachine.Role.ENGINE, "dc", state, "http://e", "m", version, "")));
    }

    @Property(tries = 2000, seed = "7821")
    void orderAndRepetitionOfStatementsDoNotMatter(
            @ForAll @Size(max = 12) List<@From("statements") MachineStatement> first,
            @ForAll @Size(max = 12) List<@From("statements") MachineStatement> second,
            @ForAll long shuffle) {
        List<MachineStatement> all = new ArrayList<>(first);
        all.addAll(second);
        List<MachineStatement> reordered = new ArrayList<>(all);
        reordered.addAll(second);
        Collections.shuffle(reordered, new Random(shuffle));
        MachineTable oneByOne = MachineTable.empty();
        for (MachineStatement statement : reordered) {
            oneByOne = oneByOne.with(List.of(statement));
        }
        MachineTable together = MachineTable.empty().with(all);
        assertThat(oneByOne, is(together));
        assertThat(together.with(second), sameInstance(together));
    }

    /**
     * Two routers that fetch from each other, first a part and then everything, become equal and detect when to fetch
     * more.
     */
    @Property(tries = 2000, seed = "7822")
    void fetchedStatementsMakeTablesEqual(
            @ForAll @Size(max = 12) List<@From("statements") MachineStatement> mine,
            @ForAll @Size(max = 12) List<@From("statements") MachineStatement> theirs,
            @ForAll @LongRange(max = 5) long afterClock) {
        MachineTable table = MachineTable.empty().with(mine);
        MachineTable peer = MachineTable.empty().with(theirs);
        MachineTable partial = table.with(peer.statementsAfter(afterClock));
        boolean settled =
                partial.digest() == peer.digest() || partial.isAheadOf(peer.statementsAfter(afterClock), afterClock);
        assertThat(settled || afterClock > 0, is(true));
        MachineTable merged = partial.with(peer.statementsAfter(0));
        assertThat(merged, is(peer.with(merged.statementsAfter(0))));
        assertThat(merged.digest() == peer.digest(), is(merged.machines().equals(peer.machines())));
    }
}
