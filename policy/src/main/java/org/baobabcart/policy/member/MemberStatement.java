package org.baobabcart.policy.member;

import java.util.Comparator;
import org.baobabcart.policy.hash.RendezvousHash;

/**
 * A versioned statement about a member. Immutable.
 *
 * <p>Statements about the same member are totally ordered: by incarnation, then liveness, then data centre and
 * addresses. Merging two statements returns the greater one.
 *
 * @param nodeId the member's name, which is stable across restarts
 * @param incarnation the incarnation number, which only the member itself raises, with each restart and each
 *     refutation
 * @param liveness the member's liveness
 * @param dataCentre the member's data centre
 * @param peerAddress {@code host:port} of the member's peer port
 * @param adminAddress {@code host:port} of the member's admin port
 */
public record MemberStatement(
        String nodeId,
        long incarnation,
        Liveness liveness,
        String dataCentre,
        String peerAddress,
        String adminAddress) {
    private static final Comparator<MemberStatement> ORDER = Comparator.comparingLong(MemberStatement::incarnation)
            .thenComparing(MemberStatement::liveness)
            .thenComparing(MemberStatement::dataCentre)
            .thenComparing(MemberStatement::peerAddress)
            .thenComparing(MemberStatement::adminAddress);

    /** Returns whether this statement replaces the other one about the same member. */
    public boolean supersedes(MemberStatement other) {
        return ORDER.compare(this, other) > 0;
    }

    /** Returns this statement with another liveness. */
    public MemberStatement withLiveness(Liveness newLiveness) {
        return new MemberStatement(nodeId, incarnation, newLiveness, dataCentre, peerAddress, adminAddress);
    }

    /** Returns this statement with another incarnation. */
    public MemberStatement withIncarnation(long newIncarnation) {
        return new MemberStatement(nodeId, newIncarnation, liveness, dataCentre, peerAddress, adminAddress);
    }

    /** Returns a digest of this statement, to be summed over statements; zero for a dead member. */
    public long digest() {
        if (liveness == Liveness.DEAD) {
            return 0;
        }
        return RendezvousHash.weight(peerAddress, nodeId + "/" + incarnation + "/" + liveness);
    }

    /** Returns whether the member that makes this statement about itself has to refute the other statement. */
    public boolean mustRefute(MemberStatement other) {
        return other.nodeId().equals(nodeId) && other.supersedes(this);
    }

    /** Returns the statement by which the member refutes the other one: this statement at a greater incarnation. */
    public MemberStatement refuting(MemberStatement other) {
        return withIncarnation(Math.max(incarnation, other.incarnation() + 1));
    }
}
