package org.baobabcart.policy.member;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * News about members that is still to be passed on: each item a bounded number of times, the least sent first. Confined
 * to one thread.
 *
 * <p>After a number of sends that grows with the logarithm of the fleet's size an item has reached all nodes with high
 * probability.
 */
public final class GossipQueue {
    private static final int SENDS_PER_DOUBLING = 2;

    private final Map<String, Item> items = new HashMap<>();
    private long nextOrder;

    private GossipQueue() {}

    /** A queue without news. */
    public static GossipQueue create() {
        return new GossipQueue();
    }

    /** Adds news about a member, in place of older news about it. */
    public void add(MemberStatement statement) {
        items.put(statement.nodeId(), new Item(statement, 0, nextOrder++));
    }

    /**
     * Takes the items for one message.
     *
     * @param limit the greatest number of items
     * @param fleetSize the number of known members
     */
    public List<MemberStatement> take(int limit, int fleetSize) {
        int sends = sends(fleetSize);
        List<Item> chosen = items.values().stream()
                .sorted(Comparator.comparingInt(Item::sent).thenComparingLong(Item::order))
                .limit(limit)
                .toList();
        List<MemberStatement> taken = new ArrayList<>();
        for (Item item : chosen) {
            taken.add(item.statement());
            retain(item.again(), sends);
        }
        return taken;
    }

    /** The number of items that are still to be passed on. */
    public int size() {
        return items.size();
    }

    /** How often an item is passed on in a fleet of this size. */
    public static int sends(int fleetSize) {
        int doublings = Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, fleetSize));
        return SENDS_PER_DOUBLING * doublings;
    }

    private void retain(Item item, int sends) {
        if (item.sent() >= sends) {
            items.remove(item.statement().nodeId());
        } else {
            items.put(item.statement().nodeId(), item);
        }
    }

    private record Item(MemberStatement statement, int sent, long order) {
        Item again() {
            return new Item(statement, sent + 1, order);
        }
    }
}
