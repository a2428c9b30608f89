package org.baobabcart.router.member;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Routers known to this node, including itself. Immutable.
 *
 * @param self this node
 * @param others the other nodes, sorted by id
 */
public record Members(Member self, List<Member> others) {
    /** Copies the list. */
    public Members {
        others = List.copyOf(others);
    }

    /** Returns a membership of this node only. */
    public static Members alone(Member self) {
        return new Members(self, List.of());
    }

    /** Returns the members that may be assigned duties, including this node unless it is leaving. */
    public List<Member> eligible() {
        return Stream.concat(Stream.of(self), others.stream())
                .filter(member -> member.state().eligible())
                .toList();
    }

    /** Returns the other member with this id, if it is known. */
    public Optional<Member> other(String nodeId) {
        return others.stream().filter(member -> member.nodeId().equals(nodeId)).findFirst();
    }
}
