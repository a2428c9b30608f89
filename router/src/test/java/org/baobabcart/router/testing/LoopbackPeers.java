package org.baobabcart.router.testing;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.peer.BillHandler;
import org.baobabcart.router.peer.ClaimHandler;
import org.baobabcart.router.peer.PeerClient;
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
 * Dispatches claim and bill calls to handlers in the same process; all other calls, and those to addresses that are
 * down, fail at once. Not thread-safe.
 */
public final class LoopbackPeers implements PeerClient {
    private final Map<String, ClaimHandler> claims = new HashMap<>();
    private final Map<String, BillHandler> bills = new HashMap<>();
    private final Set<String> down = new HashSet<>();

    public void serveClaims(String address, ClaimHandler handler) {
        claims.put(address, handler);
    }

    public void serveBills(String address, BillHandler handler) {
        bills.put(address, handler);
    }

    public void setDown(String address, boolean isDown) {
        if (isDown) {
            down.add(address);
        } else {
            down.remove(address);
        }
    }

    @Override
    public Uni<ClaimReply> claim(String address, ClaimRequest request, Duration timeout) {
        return call(claims, address, handler -> handler.claim(request));
    }

    @Override
    public Uni<SettleReply> settle(String address, SettleRequest request, Duration timeout) {
        return call(claims, address, handler -> handler.settle(request));
    }

    @Override
    public Uni<AttemptReply> attemptState(String address, AttemptRequest request, Duration timeout) {
        return call(claims, address, handler -> handler.attemptState(request));
    }

    @Override
    public Uni<HoldReply> holdBills(String address, HoldRequest request, Duration timeout) {
        return call(bills, address, handler -> handler.holdBills(request));
    }

    @Override
    public Uni<ReleaseReply> releaseBills(String address, ReleaseRequest request, Duration timeout) {
        return call(bills, address, handler -> handler.releaseBills(request));
    }

    @Override
    public Uni<Exchange> exchange(String address, Exchange request, Duration timeout) {
        return unreachable();
    }

    @Override
    public Uni<ProbeReply> probe(String address, ProbeRequest request, Duration timeout) {
        return unreachable();
    }

    @Override
    public Uni<DocumentReply> fetchDocument(String address, DocumentRequest request, Duration timeout) {
        return unreachable();
    }

    private <H, T> Uni<T> call(Map<String, H> handlers, String address, Function<H, Uni<T>> call) {
        if (down.contains(address) || !handlers.containsKey(address)) {
            return unreachable();
        }
        return call.apply(handlers.get(address));
    }

    private static <T> Uni<T> unreachable() {
        return Uni.createFrom().failure(BaobabcartException.of(ResultCode.UPSTREAM_UNREACHABLE));
    }
}
