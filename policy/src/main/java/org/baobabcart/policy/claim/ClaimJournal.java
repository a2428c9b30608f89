package org.baobabcart.policy.claim;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The claims of one partition as one object of the platform holds them. Immutable.
 *
 * <p>The journal has a clock of its own, in milliseconds of accumulated age: a writer adds the time that it has held the
 * version it writes against, measured on its own monotonic clock from the arrival of that version. Time that nobody
 * measured is not counted, so that a claim is never older in the journal than in truth, and no two machines' clocks are
 * compared.
 *
 * @param writeId the id of the write that made this version; empty for a journal that was never written
 * @param clockMillis the accumulated age
 * @param claims the claims by the digest of their key
 */
public record ClaimJournal(String writeId, long clockMillis, Map<String, Claim> claims) {
    /** Largest size of a journal in characters; the platform's limit is one megabyte for each value. */
    public static final int MAX_CHARACTERS = 900_000;

    /** Shortest retention; a grant is long void by then. */
    public static final long MIN_RETENTION_MILLIS = 600_000;

    /** Copies the map. */
    public ClaimJournal {
        claims = Map.copyOf(claims);
    }

    /** The journal of a partition that was never written. */
    public static ClaimJournal empty() {
        return new ClaimJournal("", 0, Map.of());
    }

    /** The claim of a key. */
    public Optional<Claim> claim(ClaimKey key) {
        return Optional.ofNullable(claims.get(key.digest()));
    }

    /** The journal at a later time, without the claims whose retention has passed. */
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

    /** Applies operations in their order. */
    public JournalChange apply(List<ClaimOperation> operations, String newWriteId) {
        JournalDraft draft = new JournalDraft(clockMillis, new HashMap<>(claims), characters());
        List<ClaimResult> results = operations.stream().map(draft::apply).toList();
        return new JournalChange(new ClaimJournal(newWriteId, clockMillis, draft.claims()), results, draft.changed());
    }

    /** At most how many bytes the claims take. */
    public int characters() {
        return claims.values().stream().mapToInt(Claim::characters).sum();
    }
}
