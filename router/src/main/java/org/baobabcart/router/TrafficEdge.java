package org.baobabcart.router;

import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpServer;
import java.time.Duration;
import java.util.List;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.router.control.Controller;
import org.baobabcart.router.control.Futures;
import org.baobabcart.router.peer.BillHandler;
import org.baobabcart.router.peer.ClaimHandler;
import org.baobabcart.wire.AttemptReply;
import org.baobabcart.wire.AttemptRequest;
import org.baobabcart.wire.ClaimReply;
import org.baobabcart.wire.ClaimRequest;
import org.baobabcart.wire.HoldReply;
import org.baobabcart.wire.HoldRequest;
import org.baobabcart.wire.ReleaseReply;
import org.baobabcart.wire.ReleaseRequest;
import org.baobabcart.wire.SettleReply;
import org.baobabcart.wire.SettleRequest;

/** The caller API with the claims and bills behind it, wired to the core. Refuses every call as long as it has none. */
final class TrafficEdge {
    private static final int UNAVAILABLE = 503;

    private final HttpServer server;

    private TrafficEdge(RouterCore core) {
        this.server = core.vertx()
                .createHttpServer()
                .requestHandler(
                        request -> request.response().setStatusCode(UNAVAILABLE).end());
    }

    static TrafficEdge create(RouterCore core) {
        return new TrafficEdge(core);
    }

    Uni<Integer> listen(String host, int port) {
        return Futures.toUni(() -> server.listen(port, host)).map(HttpServer::actualPort);
    }

    Uni<Void> drain(Duration timeout) {
        return Futures.toUni(server::close);
    }

    List<Controller> controllers() {
        return List.of();
    }

    ClaimHandler claims() {
        return new ClaimHandler() {
            @Override
            public Uni<ClaimReply> claim(ClaimRequest request) {
                return unavailable();
            }

            @Override
            public Uni<SettleReply> settle(SettleRequest request) {
                return unavailable();
            }

            @Override
            public Uni<AttemptReply> attemptState(AttemptRequest request) {
                return unavailable();
            }
        };
    }

    BillHandler bills() {
        return new BillHandler() {
            @Override
            public Uni<HoldReply> holdBills(HoldRequest request) {
                return unavailable();
            }

            @Override
            public Uni<ReleaseReply> releaseBills(ReleaseRequest request) {
                return unavailable();
            }
        };
    }

    private static <T> Uni<T> unavailable() {
        return Uni.createFrom().failure(BaobabcartException.of(ResultCode.NOT_READY));
    }
}
