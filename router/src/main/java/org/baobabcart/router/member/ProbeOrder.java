package org.baobabcart.router.member;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.baobabcart.policy.member.MemberStatement;

/**
 * Order in which members are probed: rounds over all members, each in a new random order, so that the time until a
 * failed member is probed is bounded. Confined to the control thread.
 */
final class ProbeOrder {
    private final RandomGenerator random;
    private final Deque<String> round = new ArrayDeque<>();

    private ProbeOrder(RandomGenerator random) {
        this.random = random;
    }

    static ProbeOrder create(RandomGenerator random) {
        return new ProbeOrder(random);
    }

    Optional<MemberStatement> next(List<MemberStatement> members) {
        Optional<MemberStatement> found = nextOfRound(members);
        if (found.isPresent() || members.isEmpty()) {
            return found;
        }
        beginRound(members);
        return nextOfRound(members);
    }

    private Optional<MemberStatement> nextOfRound(List<MemberStatement> members) {
        while (!round.isEmpty()) {
            String nodeId = round.poll();
            Optional<MemberStatement> member = members.stream()
                    .filter(candidate -> candidate.nodeId().equals(nodeId))
                    .findFirst();
            if (member.isPresent()) {
                return member;
            }
        }
        return Optional.empty();
    }

    private void beginRound(List<MemberStatement> members) {
        List<String> nodeIds =
                new ArrayList<>(members.stream().map(MemberStatement::nodeId).toList());
        Collections.shuffle(nodeIds, new Random(random.nextLong()));
        round.addAll(nodeIds);
    }
}
