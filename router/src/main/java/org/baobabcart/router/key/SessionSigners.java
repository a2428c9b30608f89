package org.baobabcart.router.key;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.baobabcart.policy.session.SessionKey;
import org.baobabcart.policy.session.SessionSigner;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.control.TimerService;

/**
 * Gives traffic threads a signer with the keys in force. Thread-safe once subscribed on the control thread.
 *
 * <p>A new key verifies at once, but signs only after the time in which every router has got it, so that no router meets a
 * token by a key that it does not know yet.
 */
public final class SessionSigners implements Supplier<SessionSigner> {
    /** How long a new key is known before it signs. */
    static final Duration SPREAD_TIME = Duration.ofSeconds(60);

    private volatile SessionSigner signer = signer(List.of());
    private String signingId = "";
    private Optional<TimerService.Subscription> change = Optional.empty();

    private SessionSigners() {}

    /** Signers without keys until {@link #follow} has been called. */
    public static SessionSigners create() {
        return new SessionSigners();
    }

    /** Follows the keys on the blackboard; called on the control thread. */
    public void follow(Blackboard blackboard, TimerService timers) {
        received(blackboard.read(Sections.SESSION_SECRETS).secrets(), timers);
        blackboard.subscribe(Sections.SESSION_SECRETS, keys -> received(keys.secrets(), timers));
    }

    @Override
    public SessionSigner get() {
        return signer;
    }

    private void received(List<SessionSecret> secrets, TimerService timers) {
        change.ifPresent(TimerService.Subscription::cancel);
        change = Optional.empty();
        signWith(secrets, settled(secrets));
        if (secrets.size() > 1) {
            change = Optional.of(
                    timers.after("session-key-spread", SPREAD_TIME, () -> signWith(secrets, newest(secrets))));
        }
    }

    /** The key that every router knows: the one that signed so far, or else the one before the newest. */
    private Optional<SessionSecret> settled(List<SessionSecret> secrets) {
        return secrets.stream()
                .filter(secret -> secret.id().equals(signingId))
                .findFirst()
                .or(() -> secrets.stream().skip(1).findFirst())
                .or(() -> newest(secrets));
    }

    private static Optional<SessionSecret> newest(List<SessionSecret> secrets) {
        return secrets.stream().findFirst();
    }

    private void signWith(List<SessionSecret> secrets, Optional<SessionSecret> signing) {
        List<SessionSecret> ordered = new ArrayList<>(secrets);
        signing.ifPresent(first -> {
            ordered.remove(first);
            ordered.add(0, first);
        });
        signingId = signing.map(SessionSecret::id).orElse("");
        signer = signer(ordered);
    }

    private static SessionSigner signer(List<SessionSecret> secrets) {
        return SessionSigner.of(secrets.stream().map(SessionSigners::key).toList());
    }

    private static SessionKey key(SessionSecret secret) {
        return new SessionKey(secret.id(), Base64.getDecoder().decode(secret.secret()));
    }
}
