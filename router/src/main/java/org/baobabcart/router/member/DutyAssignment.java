package org.baobabcart.router.member;

import java.util.List;
import org.baobabcart.policy.hash.RendezvousHash;

/** Duties that a few routers of each data centre have, chosen among the live ones by rendezvous hashing. Thread-safe. */
public final class DutyAssignment {
    private DutyAssignment() {}

    /**
     * Whether this node is among those that have the duty in its data centre.
     *
     * @param duty the duty's name
     * @param members the routers as this node knows them
     * @param count how many have the duty
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
