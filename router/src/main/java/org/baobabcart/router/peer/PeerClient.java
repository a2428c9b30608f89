package org.baobabcart.router.peer;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import org.baobabcart.wire.AttemptReply;
import org.baobabcart.wire.AttemptRequest;
import org.baobabcart.wire.ClaimReply;
import org.baobabcart.wire.ClaimRequest;
import org.baobabcart.wire.DocumentReply;
import org.baobabcart.wire.DocumentRequest;
import org.baobabcart.wire.Exchange;
import org.baobabcart.wire.HoldReply;
import org.baobabcart.wire.HoldRequest;
import org.baobabcart.wire.ProbeReply;
import org.baobabcart.wire.ProbeRequest;
import org.baobabcart.wire.ReleaseReply;
import org.baobabcart.wire.ReleaseRequest;
import org.baobabcart.wire.SettleReply;
import org.baobabcart.wire.SettleRequest;

/**
 * Client for calls to other routers. Thread-safe. A call without a response fails when its timeout expires.
 *
 * <p>Addresses are {@code host:port} of peer ports.
 */
public interface PeerClient {
    /** Exchanges membership updates, document generations and counts. */
    Uni<Exchange> exchange(String address, Exchange request, Duration timeout);

    /** Asks the peer to probe a third router. */
    Uni<ProbeReply> probe(String address, ProbeRequest request, Duration timeout);

    /** Fetches a document that is newer than the local one. */
    Uni<DocumentReply> fetchDocument(String address, DocumentRequest request, Duration timeout);

    /** Claims an idempotency key at the owner of its partition. */
    Uni<ClaimReply> claim(String address, ClaimRequest request, Duration timeout);

    /** Reports the outcome of an attempt to the owner of the partition. */
    Uni<SettleReply> settle(String address, SettleRequest request, Duration timeout);

    /** Asks the claimant for the state of an attempt. */
    Uni<AttemptReply> attemptState(String address, AttemptRequest request, Duration timeout);

    /** Sends bills to the peer for safekeeping. */
    Uni<HoldReply> holdBills(String address, HoldRequest request, Duration timeout);

    /** Releases bills that the platform has stored. */
    Uni<ReleaseReply> releaseBills(String address, ReleaseRequest request, Duration timeout);
}
