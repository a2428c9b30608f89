package org.baobabcart.router.admin;

import java.util.Optional;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;

/** Decides whether the balancer may send requests to this router. Confined to the control thread. */
public final class Readiness {
    private Readiness() {}

    /** Returns the reason why the router is not ready; empty if it is ready. */
    public static Optional<String> notReadyReason(Blackboard blackboard) {
        if (blackboard.read(Sections.STOPPING)) {
            return Optional.of("a planned stop has begun");
        }
        if (blackboard.read(Sections.SHEET).isEmpty()) {
            return Optional.of("there is no sheet yet: " + sourceState(blackboard));
        }
        if (blackboard.read(Sections.SESSION_SECRETS).secrets().isEmpty()) {
            return Optional.of("there are no session keys yet: " + sourceState(blackboard));
        }
        return Optional.empty();
    }

    private static String sourceState(Blackboard blackboard) {
        String platform = blackboard.read(Sections.PLATFORM_REACHABLE) ? "reachable" : "unreachable";
        int peers = blackboard.read(Sections.MEMBERS).others().size();
        return "the platform is " + platform + ", " + peers + " peers are known";
    }
}
