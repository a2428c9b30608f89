package org.baobabcart.router.bill;

import java.util.List;
import java.util.Optional;
import org.baobabcart.policy.bill.HolderChoice;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.Members;

/**
 * Which routers may hold this node's bills by its view of the members. Immutable.
 *
 * @param members the members
 */
record HolderPlan(Members members) {
    /** The routers to ask, in this order. */
    List<Member> holders() {
        Member self = members.self();
        List<Member> eligible = members.eligible();
        List<String> local = ids(eligible, self.dataCentre(), true);
        List<String> remote = ids(eligible, self.dataCentre(), false);
        return HolderChoice.ranked(self.nodeId(), self.dataCentre(), local, remote).stream()
                .flatMap(nodeId -> members.other(nodeId).stream())
                .toList();
    }

    /** This node's id. */
    String self() {
        return members.self().nodeId();
    }

    /** The peer address of another router, if it is known. */
    Optional<String> address(String nodeId) {
        return members.other(nodeId).map(Member::peerAddress);
    }

    private static List<String> ids(List<Member> members, String dataCentre, boolean same) {
        return members.stream()
                .filter(member -> member.dataCentre().equals(dataCentre) == same)
                .map(Member::nodeId)
                .toList();
    }
}
