package org.baobabcart.router.bill;

import java.util.List;
import java.util.Optional;
import org.baobabcart.policy.bill.BillHolderSelector;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.Members;

/**
 * Selects the routers that may hold this node's bills from the members known to it. Immutable.
 *
 * @param members the members
 */
record BillHolderCandidates(Members members) {
    /** Returns the routers to ask, in order of preference. */
    List<Member> ranked() {
        Member self = members.self();
        List<Member> eligible = members.eligible();
        List<String> local = ids(eligible, self.dataCentre(), true);
        List<String> remote = ids(eligible, self.dataCentre(), false);
        return BillHolderSelector.ranked(self.nodeId(), self.dataCentre(), local, remote).stream()
                .flatMap(nodeId -> members.other(nodeId).stream())
                .toList();
    }

    /** Returns this node's id. */
    String selfId() {
        return members.self().nodeId();
    }

    /** Returns the peer address of another router, if it is known. */
    Optional<String> address(String nodeId) {
        return members.other(nodeId).map(Member::peerAddress);
    }

    private static List<String> ids(List<Member> members, String dataCentre, boolean sameDataCentre) {
        return members.stream()
                .filter(member -> member.dataCentre().equals(dataCentre) == sameDataCentre)
                .map(Member::nodeId)
                .toList();
    }
}
