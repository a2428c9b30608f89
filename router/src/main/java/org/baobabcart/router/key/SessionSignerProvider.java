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
 * Supplies traffic threads with a signer for the current keys. Thread-safe; {@link #subscribe} must be called on the
 * control thread.
 *
 * <p>A new key verifies tokens immediately but signs them only after a delay in which every router receives it, so that
 * no router is presented with a token whose key it does not have.
 */
public final class SessionSignerProvider implements Supplier<SessionSigner> {
    /** The time between receiving a new key and signing with it. */
    static final Duration DISTRIBUTION_TIME = Duration.ofSeconds(60);

    private volatile SessionSigner signer = signer(List.of());
    private String signingId = "";
    private Optional<TimerService.Subscription> pendingSwitch = Optional.empty();

    private SessionSignerProvider() {}

    /** Creates a provider without keys; {@link #subscribe} supplies them. */
    public static SessionSignerProvider create() {
        return new SessionSignerProvider();
    }

    /** Subscribes to the keys on the blackboard. Must be called on the control thread. */
    public void subscribe(Blackboard blackboard, TimerService timers) {
        onKeysChanged(blackboard.read(Sections.SESSION_SECRETS).secrets(), timers);
        blackboard.subscribe(Sections.SESSION_SECRETS, keys -> onKeysChanged(keys.secrets(), timers));
    }

    @Override
    public SessionSigner get() {
        return signer;
    }

    private void onKeysChanged(List<SessionSecret> secrets, TimerService timers) {
        pendingSwitch.ifPresent(TimerService.Subscription::cancel);
        pendingSwitch = Optional.empty();
        signWith(secrets, distributedKey(secrets));
        if (secrets.size() > 1) {
            pendingSwitch = Optional.of(
                    timers.after("session-key-spread", DISTRIBUTION_TIME, () -> signWith(secrets, newest(secrets))));
        }
    }

    /**
     * Returns the key that every router is assumed to have: the current signing key, or else the second newest key, or
     * else the only one.
     */
    private Optional<SessionSecret> distributedKey(List<SessionSecret> secrets) {
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
        signing.ifPresent(key -> {
            ordered.remove(key);
            ordered.add(0, key);
        });
        signingId = signing.map(SessionSecret::id).orElse("");
        signer = signer(ordered);
    }

    private static SessionSigner signer(List<SessionSecret> secrets) {
        return SessionSigner.of(
                secrets.stream().map(SessionSignerProvider::toSessionKey).toList());
    }

    private static SessionKey toSessionKey(SessionSecret secret) {
        return new SessionKey(secret.id(), Base64.getDecoder().decode(secret.secret()));
    }
}
