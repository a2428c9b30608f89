package org.baobabcart.router.claim;

import java.util.List;
import java.util.Optional;
import org.baobabcart.policy.claim.PartitionOwners;
import org.baobabcart.router.member.Member;
import org.baobabcart.router.member.Members;

/**
 * Who owns which partition by this node's view of the members. Immutable.
 *
 * @param members the members
 */
record PartitionPlan(Members members) {
    /** The owner of a partition; this node where it owns the partition itself or knows no other. */
    Member owner(String partition) {
        List<Member> eligible = members.eligible();
        List<String> ids = eligible.stream().map(Member::nodeId).toList();
        return PartitionOwners.ranked(partition, ids).stream()
                .findFirst()
                .flatMap(this::member)
                .orElse(members.self());
    }

    /** Whether the member is this node. */
    boolean isSelf(Member member) {
        return member.nodeId().equals(members.self().nodeId());
    }

    /** Whether the id is this node's. */
    boolean isSelf(String nodeId) {
        return nodeId.equals(members.self().nodeId());
    }

    /** A member by its id, this node included. */
    Optional<Member> member(String nodeId) {
        return isSelf(nodeId) ? Optional.of(members.self()) : members.other(nodeId);
    }
}
