package org.baobabcart.router.member;

import org.baobabcart.wire.Exchange;

/** A part that has something to say in the periodic exchanges of routers. Called on the control thread. */
public interface ExchangeParticipant {
    /** Adds what the peer should know to a message that is about to be sent. */
    void contribute(Exchange outgoing);

    /**
     * Takes in what a peer said.
     *
     * @param peerAddress {@code host:port} of the sender's peer port
     */
    void received(Exchange incoming, String peerAddress);
}
