package org.baobabcart.policy.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Queue of member statements to disseminate, each a bounded number of times and the least sent first. Confined to one
 * thread.
 *
 * <p>After a number of sends that grows with the logarithm of the fleet's size, a statement has reached all nodes with
 * high probability.
 */
public final class GossipQueue {
    private static final int SENDS_PER_DOUBLING = 2;

    private final Map<String, Item> items = new HashMap<>();
    private long nextOrder;

    private GossipQueue() {}

    /** Creates an empty queue. */
    public static GossipQueue create() {
        return new GossipQueue();
    }

    /** Adds a statement about a member, replacing any earlier statement about it. */
    public void add(MemberStatement statement) {
        items.put(statement.nodeId(), new Item(statement, 0, nextOrder++));
    }

    /**
     * Returns the statements to send in one message.
     *
     * @param limit the maximum number of statements
     * @param fleetSize the number of known members
     */
    public List<MemberStatement> take(int limit, int fleetSize) {
        int sendsPerStatement = sendsPerStatement(fleetSize);
        List<Item> chosen = items.values().stream()
                .sorted(Comparator.comparingInt(Item::sent).thenComparingLong(Item::order))
                .limit(limit)
                .toList();
        List<MemberStatement> taken = new ArrayList<>();
        for (Item item : chosen) {
            taken.add(item.statement());
            requeue(item.sentAgain(), sendsPerStatement);
        }
        return taken;
    }

    /** Returns the number of queued statements. */
    public int size() {
        return items.size();
    }

    /** Returns the number of times that a statement is sent in a fleet of this size. */
    public static int sendsPerStatement(int fleetSize) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, fleetSize));
        return SENDS_PER_DOUBLING * doublings;
    }

    private void requeue(Item item, int sendsPerStatement) {
        if (item.sent() >= sendsPerStatement) {
            items.remove(item.statement().nodeId());
        } else {
            items.put(item.statement().nodeId(), item);
        }
    }

    private record Item(MemberStatement statement, int sent, long order) {
        Item sentAgain() {
            return new Item(statement, sent + 1, order);
        }
    }
}
