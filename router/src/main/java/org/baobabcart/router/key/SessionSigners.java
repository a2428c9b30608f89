package org.baobabcart.router.key;

import java.util.Base64;
import java.util.function.Supplier;
import org.baobabcart.policy.session.SessionKey;
import org.baobabcart.policy.session.SessionSigner;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;

/** Gives traffic threads a signer with the keys in force. Thread-safe once subscribed on the control thread. */
public final class SessionSigners implements Supplier<SessionSigner> {
    private volatile SessionSigner signer = signer(SessionSecrets.empty());

    private SessionSigners() {}

    /** Signers without keys until {@link #follow} has been called. */
    public static SessionSigners create() {
        return new SessionSigners();
    }

    /** Follows the keys on the blackboard; called on the control thread. */
    public void follow(Blackboard blackboard) {
        signer = signer(blackboard.read(Sections.SESSION_SECRETS));
        blackboard.subscribe(Sections.SESSION_SECRETS, secrets -> signer = signer(secrets));
    }

    @Override
    public SessionSigner get() {
        return signer;
    }

    private static SessionSigner signer(SessionSecrets secrets) {
        return SessionSigner.of(
                secrets.secrets().stream().map(SessionSigners::key).toList());
    }

    private static SessionKey key(SessionSecret secret) {
        return new SessionKey(secret.id(), Base64.getDecoder().decode(secret.secret()));
    }
}
