package org.baobabcart.router.claim;

import java.util.List;
import java.util.Optional;
import org.baobabcart.policy.claim.PartitionOwnerSelector;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.Members;

/**
 * Assigns partitions to the members known to this node. Immutable.
 *
 * @param members the members
 */
record PartitionAssignment(Members members) {
    /** Returns the owner of a partition; this node if no other owner is known. */
    Member owner(String partition) {
        List<Member> eligible = members.eligible();
        List<String> ids = eligible.stream().map(Member::nodeId).toList();
        return PartitionOwnerSelector.ranked(partition, ids).stream()
                .findFirst()
                .flatMap(this::member)
                .orElse(members.self());
    }

    /** Returns whether the member is this node. */
    boolean isSelf(Member member) {
        return member.nodeId().equals(members.self().nodeId());
    }

    /** Returns whether the id is that of this node. */
    boolean isSelf(String nodeId) {
        return nodeId.equals(members.self().nodeId());
    }

    /** Returns a member by its id, including this node. */
    Optional<Member> member(String nodeId) {
        return isSelf(nodeId) ? Optional.of(members.self()) : members.other(nodeId);
    }
}
