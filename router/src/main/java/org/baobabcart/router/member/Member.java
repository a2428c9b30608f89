package org.baobabcart.router.member;

/**
 * Router as known to this node. Immutable.
 *
 * @param nodeId the name of the router, which stays the same across restarts
 * @param incarnation a number that grows with each restart and each refutation
 * @param state the liveness as known to this node
 * @param dataCentre the data centre of the router
 * @param peerAddress {@code host:port} of the peer port
 * @param adminAddress {@code host:port} of the admin port
 */
public record Member(
        String nodeId, long incarnation, State state, String dataCentre, String peerAddress, String adminAddress) {
    /** Liveness states. At the same incarnation, a later constant overrides an earlier one. */
    public enum State {
        ALIVE(true),
        SUSPECT(true),
        LEAVING(false),
        DEAD(false);

        private final boolean eligible;

        State(boolean eligible) {
            this.eligible = eligible;
        }

        /** Returns whether the member may be assigned duties, such as the ownership of a partition. */
        public boolean eligible() {
            return eligible;
        }
    }
    /** Returns this member with another incarnation. */
    public Member withIncarnation(long newIncarnation) {
        return new Member(nodeId, newIncarnation, state, dataCentre, peerAddress, adminAddress);
    }
}
