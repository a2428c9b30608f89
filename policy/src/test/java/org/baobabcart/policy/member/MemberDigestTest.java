package org.baobabcart.policy.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import org.junit.jupiter.api.Test;

class MemberDigestTest {
    private static final MemberStatement FIRST = statement("a", 1, Liveness.ALIVE);
    private static final MemberStatement SECOND = statement("b", 1, Liveness.ALIVE);

    @Test
    void tablesOfTheSameMembersHaveTheSameDigestInAnyOrder() {
        MembershipTable table = MembershipTable.empty().with(FIRST).with(SECOND);
        assertThat(MembershipTable.empty().with(SECOND).with(FIRST).digest(), is(table.digest()));
    }

    @Test
    void differentTablesHaveDifferentDigests() {
        long digest = MembershipTable.empty().with(FIRST).digest();
        assertThat(MembershipTable.empty().with(FIRST).with(SECOND).digest(), is(not(digest)));
        assertThat(
                MembershipTable.empty().with(statement("a", 2, Liveness.ALIVE)).digest(), is(not(digest)));
        assertThat(
                MembershipTable.empty()
                        .with(statement("a", 1, Liveness.SUSPECT))
                        .digest(),
                is(not(digest)));
    }

    @Test
    void deadMembersDoNotAffectTheDigest() {
        MembershipTable table = MembershipTable.empty().with(FIRST);
        assertThat(table.with(statement("b", 2, Liveness.DEAD)).digest(), is(table.digest()));
    }

    private static MemberStatement statement(String nodeId, long incarnation, Liveness liveness) {
        return new MemberStatement(nodeId, incarnation, liveness, "dc", "host:1", "");
    }
}
