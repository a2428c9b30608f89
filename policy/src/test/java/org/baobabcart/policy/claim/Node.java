package org.baobabcart.policy.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** The state of a router. A crash clears it and starts a new incarnation. */
final class Node {
    int incarnation;
    boolean paused;
    long clockOffset;
    JournalOwner owner = JournalOwner.create();
    final Map<Long, Consumer<ClaimResult>> tickets = new HashMap<>();
    final Map<String, Attempt> attempts = new HashMap<>();

    void crash(long newClockOffset) {
        incarnation++;
        paused = false;
        owner = JournalOwner.create();
        tickets.clear();
        attempts.clear();
        clockOffset = newClockOffset;
    }
}
