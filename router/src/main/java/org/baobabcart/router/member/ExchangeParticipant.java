package org.baobabcart.router.member;

import org.baobabcart.wire.Exchange;

/** Component that sends and receives data in the periodic exchanges between routers. Called on the control thread. */
public interface ExchangeParticipant {
    /** Adds data for the peer to a message that is about to be sent. */
    void contribute(Exchange outgoing);

    /**
     * Processes the data received from a peer.
     *
     * @param peerAddress {@code host:port} of the sender's peer port
     */
    void received(Exchange incoming, String peerAddress);
}
