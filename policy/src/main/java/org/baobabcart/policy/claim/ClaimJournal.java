package org.baobabcart.policy.claim;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The claims of one partition, stored as one object of the platform. Immutable.
 *
 * <p>The journal has its own clock, in milliseconds of accumulated age. A writer adds the time since it received the
 * version that it updates, measured on its own monotonic clock. Time that no writer measured is not counted, so that a
 * claim is never older in the journal than in reality, and clocks of different machines are never compared.
 *
 * @param writeId the id of the write that created this version; empty for a journal that was never written
 * @param clockMillis the accumulated age
 * @param claims the claims by the digest of their key
 */
public record ClaimJournal(String writeId, long clockMillis, Map<String, Claim> claims) {
    /** The maximum size of a journal in characters; the platform limits each value to one megabyte. */
    public static final int MAX_CHARACTERS = 900_000;

    /** The minimum retention, by which any grant has expired long ago. */
    public static final long MIN_RETENTION_MILLIS = 600_000;

    /** Copies the map. */
    public ClaimJournal {
        claims = Map.copyOf(claims);
    }

    /** Returns the journal of a partition that was never written. */
    public static ClaimJournal empty() {
        return new ClaimJournal("", 0, Map.of());
    }

    /** Returns the claim of a key. */
    public Optional<Claim> claim(ClaimKey key) {
        return Optional.ofNullable(claims.get(key.digest()));
    }

    /** Returns the journal after some time has passed, without the claims whose retention has passed. */
    public ClaimJournal aged(long elapsedMillis) {
        long clock = clockMillis + Math.max(0, elapsedMillis);
        Map<String, Claim> kept = new LinkedHashMap<>();
        claims.forEach((digest, claim) -> {
            if (!claim.expired(clock)) {
                kept.put(digest, claim);
            }
        });
        return new ClaimJournal(writeId, clock, kept);
    }

    /** Applies operations in order. */
    public JournalChange apply(List<ClaimOperation> operations, String newWriteId) {
        JournalDraft draft = new JournalDraft(clockMillis, new HashMap<>(claims), characters());
        List<ClaimResult> results = operations.stream().map(draft::apply).toList();
        return new JournalChange(new ClaimJournal(newWriteId, clockMillis, draft.claims()), results, draft.changed());
    }

    /** Returns an upper bound on the size of the claims in bytes. */
    public int characters() {
        return claims.values().stream().mapToInt(Claim::characters).sum();
    }
}
