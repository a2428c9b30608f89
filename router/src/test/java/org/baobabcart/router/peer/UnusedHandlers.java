package org.baobabcart.router.peer;

import io.smallrye.mutiny.Uni;
import org.baobabcart.wire.AttemptReply;
import org.baobabcart.wire.AttemptRequest;
import org.baobabcart.wire.ClaimReply;
import org.baobabcart.wire.ClaimRequest;
import org.baobabcart.wire.Exchange;
import org.baobabcart.wire.HoldReply;
import org.baobabcart.wire.HoldRequest;
import org.baobabcart.wire.ProbeReply;
import org.baobabcart.wire.ProbeRequest;
import org.baobabcart.wire.ReleaseReply;
import org.baobabcart.wire.ReleaseRequest;
import org.baobabcart.wire.SettleReply;
import org.baobabcart.wire.SettleRequest;

/** Handlers of calls that a test does not make; they fail if called. */
final class UnusedHandlers {
    static final MemberHandler MEMBERS = new MemberHandler() {
        @Override
        public Uni<Exchange> exchange(Exchange request) {
            return unused();
        }

        @Override
        public Uni<ProbeReply> probe(ProbeRequest request) {
            return unused();
        }
    };

    static final ClaimHandler CLAIMS = new ClaimHandler() {
        @Override
        public Uni<ClaimReply> claim(ClaimRequest request) {
            return unused();
        }

        @Override
        public Uni<SettleReply> settle(SettleRequest request) {
            return unused();
        }

        @Override
        public Uni<AttemptReply> attemptState(AttemptRequest request) {
            return unused();
        }
    };

    static final BillHandler BILLS = new BillHandler() {
        @Override
        public Uni<HoldReply> holdBills(HoldRequest request) {
            return unused();
        }

        @Override
        public Uni<ReleaseReply> releaseBills(ReleaseRequest request) {
            return unused();
        }
    };

    private UnusedHandlers() {}

    private static <T> Uni<T> unused() {
        return Uni.createFrom().failure(new AssertionError("not called by this test"));
    }
}
