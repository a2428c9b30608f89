package org.baobabcart.policy.claim;

import java.util.Map;
import java.util.Optional;
import org.baobabcart.policy.claim.ClaimResult.Kind;

/** A mutable working copy of a journal. Confined to one call of {@link ClaimJournal#apply}. */
final class JournalDraft {
    private final long clockMillis;
    private final Map<String, Claim> claims;
    private int characters;
    private boolean changed;

    JournalDraft(long clockMillis, Map<String, Claim> claims, int characters) {
        this.clockMillis = clockMillis;
        this.claims = claims;
        this.characters = characters;
    }

    Map<String, Claim> claims() {
        return claims;
    }

    boolean changed() {
        return changed;
    }

    ClaimResult apply(ClaimOperation operation) {
        if (operation instanceof ClaimOperation.Acquire acquire) {
            return acquire(acquire);
        }
        if (operation instanceof ClaimOperation.Finish finish) {
            return finish(finish);
        }
        if (operation instanceof ClaimOperation.MarkUnknown unknown) {
            return markUnknown(unknown);
        }
        return release(operation);
    }

    private ClaimResult acquire(ClaimOperation.Acquire acquire) {
        Optional<Claim> existing = Optional.ofNullable(claims.get(acquire.key().digest()));
        if (existing.isEmpty()) {
            return add(acquire);
        }
        Claim claim = existing.get();
        if (claim.state() == Claim.State.OPEN && claim.belongsTo(acquire.attemptId())) {
            return ClaimResult.of(Kind.GRANTED, claim);
        }
        if (claim.state() == Claim.State.OPEN && acquire.replaces().equals(Optional.of(claim.attemptId()))) {
            remove(claim);
            return add(acquire);
        }
        if (claim.state() == Claim.State.OPEN) {
            return ClaimResult.of(Kind.HELD, claim);
        }
        if (!claim.callDigest().equals(acquire.callDigest())) {
            return ClaimResult.of(Kind.KEY_REUSED, claim);
        }
        return ClaimResult.of(claim.state() == Claim.State.FINISHED ? Kind.REPLAY : Kind.OUTCOME_UNKNOWN, claim);
    }

    private ClaimResult finish(ClaimOperation.Finish finish) {
        return claimOf(finish)
                .map(claim -> {
                    if (claim.state() != Claim.State.FINISHED) {
                        replace(claim, finishedWithinLimit(claim, finish.answer()));
                    }
                    return ClaimResult.of(Kind.STORED);
                })
                .orElse(ClaimResult.of(Kind.NO_CLAIM));
    }

    private ClaimResult markUnknown(ClaimOperation.MarkUnknown unknown) {
        return claimOf(unknown)
                .map(claim -> {
                    if (claim.state() == Claim.State.OPEN) {
                        replace(claim, claim.unknown(clockMillis));
                    }
                    return ClaimResult.of(Kind.STORED);
                })
                .orElse(ClaimResult.of(Kind.NO_CLAIM));
    }

    private ClaimResult release(ClaimOperation release) {
        claimOf(release).filter(claim -> claim.state() == Claim.State.OPEN).ifPresent(this::remove);
        changed = true;
        return ClaimResult.of(Kind.STORED);
    }

    private ClaimResult add(ClaimOperation.Acquire acquire) {
        Claim claim = new Claim(
                acquire.key(),
                acquire.callDigest(),
                acquire.attemptId(),
                acquire.claimant(),
                Claim.State.OPEN,
                Optional.empty(),
                clockMillis,
                Math.max(acquire.retentionMillis(), ClaimJournal.MIN_RETENTION_MILLIS));
        if (characters + claim.characters() > ClaimJournal.MAX_CHARACTERS) {
            return ClaimResult.of(Kind.UNAVAILABLE);
        }
        put(claim);
        return ClaimResult.of(Kind.GRANTED, claim);
    }

    private Claim finishedWithinLimit(Claim claim, JournaledAnswer answer) {
        Claim finished = claim.finished(answer, clockMillis);
        if (characters + finished.characters() - claim.characters() <= ClaimJournal.MAX_CHARACTERS) {
            return finished;
        }
        return claim.finished(new JournaledAnswer(answer.status(), Map.of(), "", true), clockMillis);
    }

    private Optional<Claim> claimOf(ClaimOperation operation) {
        return Optional.ofNullable(claims.get(operation.key().digest()))
                .filter(claim -> claim.belongsTo(operation.attemptId()));
    }

    private void replace(Claim claim, Claim replacement) {
        remove(claim);
        put(replacement);
    }

    private void put(Claim claim) {
        claims.put(claim.key().digest(), claim);
        characters += claim.characters();
        changed = true;
    }

    private void remove(Claim claim) {
        claims.remove(claim.key().digest());
        characters -= claim.characters();
        changed = true;
    }
}
