package org.baobabcart.router.admin;

import java.util.Optional;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;

/** Whether the balancer may send requests to this router. Used on the control thread. */
public final class Readiness {
    private Readiness() {}

    /** Why the router is not ready; empty when it is. */
    public static Optional<String> obstacle(Blackboard blackboard) {
        if (blackboard.read(Sections.STOPPING)) {
            return Optional.of("a planned stop has begun");
        }
        if (blackboard.read(Sections.SHEET).isEmpty()) {
            return Optional.of("there is no sheet yet: " + sources(blackboard));
        }
        if (blackboard.read(Sections.SESSION_SECRETS).secrets().isEmpty()) {
            return Optional.of("there are no session keys yet: " + sources(blackboard));
        }
        return Optional.empty();
    }

    private static String sources(Blackboard blackboard) {
        String platform = blackboard.read(Sections.PLATFORM_REACHABLE) ? "reachable" : "unreachable";
        int peers = blackboard.read(Sections.MEMBERS).others().size();
        return "the platform is " + platform + ", " + peers + " peers are known";
    }
}
