package org.baobabcart.policy.member;

import java.util.Comparator;
import org.baobabcart.policy.hash.RendezvousHash;

/**
 * One statement about a member. Immutable.
 *
 * <p>Statements about the same member are totally ordered: by incarnation, then liveness, then addresses. The merge of
 * two is the greater one.
 *
 * @param nodeId the member's name, the same over restarts
 * @param incarnation grows with each restart and each refutation; only the member itself raises it
 * @param liveness its liveness
 * @param dataCentre the data centre it stands in
 * @param peerAddress {@code host:port} of its peer port
 * @param adminAddress {@code host:port} of its admin port
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

    /** Whether this statement replaces the other one about the same member. */
    public boolean supersedes(MemberStatement other) {
        return ORDER.compare(this, other) > 0;
    }

    /** The same statement with another liveness. */
    public MemberStatement withLiveness(Liveness newLiveness) {
        return new MemberStatement(nodeId, incarnation, newLiveness, dataCentre, peerAddress, adminAddress);
    }

    /** The same statement at another incarnation. */
    public MemberStatement withIncarnation(long newIncarnation) {
        return new MemberStatement(nodeId, newIncarnation, liveness, dataCentre, peerAddress, adminAddress);
    }

    /** A digest for sums over many statements; zero for a dead member. */
    public long digest() {
        if (liveness == Liveness.DEAD) {
            return 0;
        }
        return RendezvousHash.weight(peerAddress, nodeId + "/" + incarnation + "/" + liveness);
    }

    /** Whether a member that says this of itself has to refute the other statement. */
    public boolean mustRefute(MemberStatement other) {
        return other.nodeId().equals(nodeId) && other.supersedes(this);
    }

    /** What a member says of itself so that it supersedes the other statement. */
    public MemberStatement refuting(MemberStatement other) {
        return withIncarnation(Math.max(incarnation, other.incarnation() + 1));
    }
}
