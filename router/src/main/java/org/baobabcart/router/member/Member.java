package org.baobabcart.router.member;

/**
 * A router as this node knows it. Immutable.
 *
 * @param nodeId the router's name, the same over restarts
 * @param incarnation grows with each restart and each refutation
 * @param state its liveness as seen here
 * @param dataCentre the data centre it stands in
 * @param peerAddress {@code host:port} of its peer port
 * @param adminAddress {@code host:port} of its admin port
 */
public record Member(
        String nodeId, long incarnation, State state, String dataCentre, String peerAddress, String adminAddress) {
    /** Liveness, ordered so that at the same incarnation the later one wins. */
    public enum State {
        ALIVE(true),
        SUSPECT(true),
        LEAVING(false),
        DEAD(false);

        private final boolean eligible;

        State(boolean eligible) {
            this.eligible = eligible;
        }

        /** Whether the member may be given duties, such as the ownership of a partition. */
        public boolean eligible() {
            return eligible;
        }
    }
    /** The same member at another incarnation. */
    public Member withIncarnation(long newIncarnation) {
        return new Member(nodeId, newIncarnation, state, dataCentre, peerAddress, adminAddress);
    }
}
