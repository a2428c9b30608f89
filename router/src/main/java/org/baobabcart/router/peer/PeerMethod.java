package org.baobabcart.router.peer;

import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.thrift.TBase;
import org.baobabcart.wire.AttemptReply;
import org.baobabcart.wire.AttemptRequest;
import org.baobabcart.wire.ClaimReply;
import org.baobabcart.wire.ClaimRequest;
import org.baobabcart.wire.DocumentReply;
import org.baobabcart.wire.DocumentRequest;
import org.baobabcart.wire.Exchange;
import org.baobabcart.wire.HoldReply;
import org.baobabcart.wire.HoldRequest;
import org.baobabcart.wire.PeerProtocol.attemptState_args;
import org.baobabcart.wire.PeerProtocol.attemptState_result;
import org.baobabcart.wire.PeerProtocol.claim_args;
import org.baobabcart.wire.PeerProtocol.claim_result;
import org.baobabcart.wire.PeerProtocol.exchange_args;
import org.baobabcart.wire.PeerProtocol.exchange_result;
import org.baobabcart.wire.PeerProtocol.fetchDocument_args;
import org.baobabcart.wire.PeerProtocol.fetchDocument_result;
import org.baobabcart.wire.PeerProtocol.holdBills_args;
import org.baobabcart.wire.PeerProtocol.holdBills_result;
import org.baobabcart.wire.PeerProtocol.probe_args;
import org.baobabcart.wire.PeerProtocol.probe_result;
import org.baobabcart.wire.PeerProtocol.releaseBills_args;
import org.baobabcart.wire.PeerProtocol.releaseBills_result;
import org.baobabcart.wire.PeerProtocol.settle_args;
import org.baobabcart.wire.PeerProtocol.settle_result;
import org.baobabcart.wire.ProbeReply;
import org.baobabcart.wire.ProbeRequest;
import org.baobabcart.wire.ReleaseReply;
import org.baobabcart.wire.ReleaseRequest;
import org.baobabcart.wire.SettleReply;
import org.baobabcart.wire.SettleRequest;

/**
 * Method of the peer protocol, bound to the generated structures that carry its request and reply. Immutable.
 *
 * <p>The generated client and processor block a thread for each call. These bindings read and write the same messages
 * on event loops.
 *
 * @param name the name of the method on the wire
 * @param arguments wraps a request to be sent
 * @param emptyArguments creates a structure to read a request into
 * @param request extracts the request
 * @param result wraps a reply to be sent
 * @param emptyResult creates a structure to read a reply into
 * @param reply extracts the reply; null if the peer sent none
 * @param <Q> the request type
 * @param <R> the reply type
 * @param <A> the generated structure of the arguments
 * @param <S> the generated structure of the result
 */
record PeerMethod<Q, R, A extends TBase<?, ?>, S extends TBase<?, ?>>(
        String name,
        Function<Q, A> arguments,
        Supplier<A> emptyArguments,
        Function<A, Q> request,
        Function<R, S> result,
        Supplier<S> emptyResult,
        Function<S, R> reply) {
    static final PeerMethod<Exchange, Exchange, exchange_args, exchange_result> EXCHANGE = new PeerMethod<>(
            "exchange",
            exchange_args::new,
            exchange_args::new,
            exchange_args::getRequest,
            exchange_result::new,
            exchange_result::new,
            exchange_result::getSuccess);
    static final PeerMethod<ProbeRequest, ProbeReply, probe_args, probe_result> PROBE = new PeerMethod<>(
            "probe",
            probe_args::new,
            probe_args::new,
            probe_args::getRequest,
            probe_result::new,
            probe_result::new,
            probe_result::getSuccess);
    static final PeerMethod<DocumentRequest, DocumentReply, fetchDocument_args, fetchDocument_result> FETCH_DOCUMENT =
            new PeerMethod<>(
                    "fetchDocument",
                    fetchDocument_args::new,
                    fetchDocument_args::new,
                    fetchDocument_args::getRequest,
                    fetchDocument_result::new,
                    fetchDocument_result::new,
                    fetchDocument_result::getSuccess);
    static final PeerMethod<ClaimRequest, ClaimReply, claim_args, claim_result> CLAIM = new PeerMethod<>(
            "claim",
            claim_args::new,
            claim_args::new,
            claim_args::getRequest,
            claim_result::new,
            claim_result::new,
            claim_result::getSuccess);
    static final PeerMethod<SettleRequest, SettleReply, settle_args, settle_result> SETTLE = new PeerMethod<>(
            "settle",
            settle_args::new,
            settle_args::new,
            settle_args::getRequest,
            settle_result::new,
            settle_result::new,
            settle_result::getSuccess);
    static final PeerMethod<AttemptRequest, AttemptReply, attemptState_args, attemptState_result> ATTEMPT_STATE =
            new PeerMethod<>(
                    "attemptState",
                    attemptState_args::new,
                    attemptState_args::new,
                    attemptState_args::getRequest,
                    attemptState_result::new,
                    attemptState_result::new,
                    attemptState_result::getSuccess);
    static final PeerMethod<HoldRequest, HoldReply, holdBills_args, holdBills_result> HOLD_BILLS = new PeerMethod<>(
            "holdBills",
            holdBills_args::new,
            holdBills_args::new,
            holdBills_args::getRequest,
            holdBills_result::new,
            holdBills_result::new,
            holdBills_result::getSuccess);
    static final PeerMethod<ReleaseRequest, ReleaseReply, releaseBills_args, releaseBills_result> RELEASE_BILLS =
            new PeerMethod<>(
                    "releaseBills",
                    releaseBills_args::new,
                    releaseBills_args::new,
                    releaseBills_args::getRequest,
                    releaseBills_result::new,
                    releaseBills_result::new,
                    releaseBills_result::getSuccess);
}
