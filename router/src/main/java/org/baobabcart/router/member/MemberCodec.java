package org.baobabcart.router.member;

import org.baobabcart.policy.member.Liveness;
import org.baobabcart.policy.member.MemberStatement;
import org.baobabcart.wire.MemberState;
import org.baobabcart.wire.MemberUpdate;

/** Converts statements about members to and from the wire format and the blackboard format. Thread-safe. */
final class MemberCodec {
    private MemberCodec() {}

    static MemberUpdate toWire(MemberStatement statement) {
        MemberState state = MemberState.valueOf(statement.liveness().name());
        return new MemberUpdate(statement.nodeId(), statement.incarnation(), state)
                .setDataCentre(statement.dataCentre())
                .setPeerAddress(statement.peerAddress())
                .setAdminAddress(statement.adminAddress());
    }

    static MemberStatement fromWire(MemberUpdate update) {
        return new MemberStatement(
                update.getNodeId(),
                update.getIncarnation(),
                Liveness.valueOf(update.getState().name()),
                orEmpty(update.getDataCentre()),
                orEmpty(update.getPeerAddress()),
                orEmpty(update.getAdminAddress()));
    }

    static Member toMember(MemberStatement statement) {
        return new Member(
                statement.nodeId(),
                statement.incarnation(),
                Member.State.valueOf(statement.liveness().name()),
                statement.dataCentre(),
                statement.peerAddress(),
                statement.adminAddress());
    }

    static MemberStatement fromMember(Member member) {
        return new MemberStatement(
                member.nodeId(),
                member.incarnation(),
                Liveness.valueOf(member.state().name()),
                member.dataCentre(),
                member.peerAddress(),
                member.adminAddress());
    }

    private static String orEmpty(String text) {
        return text == null ? "" : text;
    }
}
