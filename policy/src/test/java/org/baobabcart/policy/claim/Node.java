package org.baobabcart.policy.claim;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** A router's state; a crash clears it and begins another life. */
final class Node {
    int life;
    boolean paused;
    long clockOffset;
    JournalOwner owner = JournalOwner.create();
    final Map<Long, Consumer<ClaimResult>> tickets = new HashMap<>();
    final Map<String, Attempt> attempts = new HashMap<>();

    void crash(long newClockOffset) {
        life++;
        paused = false;
        owner = JournalOwner.create();
        tickets.clear();
        attempts.clear();
        clockOffset = newClockOffset;
    }
}
