package org.baobabcart.router.testing;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiPredicate;
import java.util.function.Function;
import org.apache.thrift.TBase;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.peer.DocumentHandler;
import org.baobabcart.router.peer.MemberHandler;
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

/** Delivers membership and document calls between nodes in memory; {@link #setPartition} disconnects pairs of nodes. */
public final class PeerNetwork {
    private record Node(MemberHandler members, DocumentHandler documents) {}

    private final Map<String, Node> nodes = new HashMap<>();
    private BiPredicate<String, String> partition = (from, to) -> false;
    private long calls;
    private long bytes;

    private PeerNetwork() {}

    public static PeerNetwork create() {
        return new PeerNetwork();
    }

    public void join(String address, MemberHandler members, DocumentHandler documents) {
        nodes.put(address, new Node(members, documents));
    }

    public void remove(String address) {
        nodes.remove(address);
    }

    public void setPartition(BiPredicate<String, String> newPartition) {
        partition = newPartition;
    }

    /** Returns the number of successful calls. */
    public long calls() {
        return calls;
    }

    /** Returns the size of the requests and replies of successful calls in bytes, without transport headers. */
    public long bytes() {
        return bytes;
    }

    public PeerClient clientOf(String address) {
        return new Client(address);
    }

    private <Q extends TBase<?, ?>, R extends TBase<?, ?>> Uni<R> call(
            String from, String to, Q request, Function<Node, Uni<R>> method) {
        return Uni.createFrom()
                .deferred(() -> {
                    Node node = nodes.get(to);
                    boolean reachable = node != null && !partition.test(from, to) && !partition.test(to, from);
                    return reachable ? method.apply(node) : Uni.createFrom().failure(unreachable());
                })
                .invoke(reply -> {
                    calls++;
                    bytes += size(request) + size(reply);
                });
    }

    private static long size(TBase<?, ?> message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message).length;
        } catch (TException exception) {
            throw new IllegalStateException(exception);
        }
    }

    private static BaobabcartException unreachable() {
        return BaobabcartException.of(ResultCode.UPSTREAM_UNREACHABLE);
    }

    private final class Client implements PeerClient {
        private final String from;

        Client(String from) {
            this.from = from;
        }

        @Override
        public Uni<Exchange> exchange(String address, Exchange request, Duration timeout) {
            return call(from, address, request, node -> node.members().exchange(request));
        }

        @Override
        public Uni<ProbeReply> probe(String address, ProbeRequest request, Duration timeout) {
            return call(from, address, request, node -> node.members().probe(request));
        }

        @Override
        public Uni<DocumentReply> fetchDocument(String address, DocumentRequest request, Duration timeout) {
            return call(from, address, request, node -> node.documents().fetchDocument(request));
        }

        @Override
        public Uni<ClaimReply> claim(String address, ClaimRequest request, Duration timeout) {
            return Uni.createFrom().failure(unreachable());
        }

        @Override
        public Uni<SettleReply> settle(String address, SettleRequest request, Duration timeout) {
            return Uni.createFrom().failure(unreachable());
        }

        @Override
        public Uni<AttemptReply> attemptState(String address, AttemptRequest request, Duration timeout) {
            return Uni.createFrom().failure(unreachable());
        }

        @Override
        public Uni<HoldReply> holdBills(String address, HoldRequest request, Duration timeout) {
            return Uni.createFrom().failure(unreachable());
        }

        @Override
        public Uni<ReleaseReply> releaseBills(String address, ReleaseRequest request, Duration timeout) {
            return Uni.createFrom().failure(unreachable());
        }
    }
}
