package org.baobabcart.policy.crash;

/** How certain it is that an upstream crashed when its connection broke. */
public enum CrashSeverity {
    /** The connection broke, but the upstream accepts new ones: it restarted at once, or only the connection was lost. */
    BROKEN_CONNECTION(1),
    /** The connection broke, and the upstream accepts no new one. */
    LOST_UPSTREAM(2);

    private final int weight;

    CrashSeverity(int weight) {
        this.weight = weight;
    }

    /** Returns the weight of such a crash in the suspicion of a request. */
    public int weight() {
        return weight;
    }
}
