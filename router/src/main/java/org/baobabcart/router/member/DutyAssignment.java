package org.baobabcart.router.member;

import java.util.List;
import org.baobabcart.policy.hash.RendezvousHash;

/**
 * Assigns duties to a few routers of each data centre, chosen among the eligible ones by rendezvous hashing.
 * Thread-safe.
 */
public final class DutyAssignment {
    private DutyAssignment() {}

    /**
     * Returns whether this node is one of the routers of its data centre that are assigned a duty.
     *
     * @param duty the name of the duty
     * @param members the members known to this node
     * @param count the number of routers to assign
     */
    public static boolean isAssigned(String duty, Members members, int count) {
        String dataCentre = members.self().dataCentre();
        List<String> candidates = members.eligible().stream()
                .filter(member -> member.dataCentre().equals(dataCentre))
                .map(Member::nodeId)
                .toList();
        return RendezvousHash.top(duty, candidates, count)
                .contains(members.self().nodeId());
    }
}
