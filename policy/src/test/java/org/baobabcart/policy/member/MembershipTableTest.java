package org.baobabcart.policy.member;

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
import net.jqwik.api.constraints.Size;

class MembershipTableTest {
    @Provide
    Arbitrary<MemberStatement> statements() {
        return Combinators.combine(
                        Arbitraries.of("a", "b", "c"),
                        Arbitraries.longs().between(0, 4),
                        Arbitraries.of(Liveness.class),
                        Arbitraries.of("host:1", "host:2"))
                .as((node, incarnation, liveness, address) ->
                        new MemberStatement(node, incarnation, liveness, "dc", address, ""));
    }

    @Property(tries = 2000, seed = "7401")
    void orderAndRepetitionOfStatementsDoNotMatter(
            @ForAll("statements") MemberStatement first,
            @ForAll @Size(max = 20) List<@From("statements") MemberStatement> more,
            @ForAll long shuffle) {
        List<MemberStatement> all = new ArrayList<>(more);
        all.add(first);
        List<MemberStatement> reordered = new ArrayList<>(all);
        reordered.addAll(more);
        Collections.shuffle(reordered, new Random(shuffle));
        assertThat(table(reordered), is(table(all)));
    }

    @Property(tries = 2000, seed = "7402")
    void mergeIsCommutativeAssociativeAndIdempotent(
            @ForAll @Size(max = 8) List<@From("statements") MemberStatement> first,
            @ForAll @Size(max = 8) List<@From("statements") MemberStatement> second,
            @ForAll @Size(max = 8) List<@From("statements") MemberStatement> third) {
        MembershipTable a = table(first);
        MembershipTable b = table(second);
        MembershipTable c = table(third);
        assertThat(a.mergedWith(b), is(b.mergedWith(a)));
        assertThat(a.mergedWith(b).mergedWith(c), is(a.mergedWith(b.mergedWith(c))));
        assertThat(a.mergedWith(a), sameInstance(a));
    }

    @Property(tries = 2000, seed = "7403")
    void statementsNeverRegress(@ForAll @Size(max = 20) List<@From("statements") MemberStatement> statements) {
        MembershipTable table = MembershipTable.empty();
        for (MemberStatement statement : statements) {
            MembershipTable next = table.with(statement);
            for (MemberStatement before : table.statements()) {
                MemberStatement after = next.of(before.nodeId()).orElseThrow();
                assertThat(before.supersedes(after), is(false));
            }
            table = next;
        }
    }

    @Property(tries = 2000, seed = "7404")
    void liveMemberRefutesEveryStatementAboutIt(
            @ForAll @Size(min = 1, max = 20) List<@From("statements") MemberStatement> received) {
        MemberStatement self = new MemberStatement("a", 1, Liveness.ALIVE, "dc", "host:1", "");
        for (MemberStatement statement : received) {
            if (self.mustRefute(statement)) {
                MemberStatement refuting = self.refuting(statement);
                assertThat(refuting.supersedes(self), is(true));
                assertThat(refuting.supersedes(statement), is(true));
                self = refuting;
            }
        }
        assertThat(self.liveness(), is(Liveness.ALIVE));
        assertThat(table(received).with(self).of("a").orElseThrow(), is(self));
    }

    private static MembershipTable table(List<MemberStatement> statements) {
        MembershipTable table = MembershipTable.empty();
        for (MemberStatement statement : statements) {
            table = table.with(statement);
        }
        return table;
    }
}
