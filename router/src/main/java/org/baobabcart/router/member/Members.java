package org.baobabcart.router.member;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The routers that this node knows, itself included. Immutable.
 *
 * @param self this node
 * @param others the others, in the order of their ids
 */
public record Members(Member self, List<Member> others) {
    /** Copies the list. */
    public Members {
        others = List.copyOf(others);
    }

    /** This node alone. */
    public static Members alone(Member self) {
        return new Members(self, List.of());
    }

    /** Members that may be given duties, this node included unless it is leaving. */
    public List<Member> eligible() {
        return Stream.concat(Stream.of(self), others.stream())
                .filter(member -> member.state().eligible())
                .toList();
    }

    /** The other member of this id, if known. */
    public Optional<Member> other(String nodeId) {
        return others.stream().filter(member -> member.nodeId().equals(nodeId)).findFirst();
    }
}
