package org.baobabcart.router.key;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import java.util.Random;
import org.baobabcart.policy.session.SessionToken;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.router.testing.ManualTimerService;
import org.junit.jupiter.api.Test;

class SessionSignerProviderTest {
    private static final SessionToken TOKEN = SessionToken.create("fundi").withVersion("layout-large", "v1");

    private final Random random = new Random(7203);
    private final ManualTimerService timers = ManualTimerService.create();
    private final SessionSecrets first = SessionSecrets.empty().rotated(random);
    private final SessionSecrets second = first.rotated(random);

    @Test
    void routerWithNewKeySignsWithFormerKeyDuringDistribution() {
        Node early = new Node(first);
        Node late = new Node(first);
        early.write(second);
        assertThat(late.verifies(early.token()), is(true));
        assertThat(early.verifies(late.token()), is(true));
        late.write(second);
        timers.advance(SessionSignerProvider.DISTRIBUTION_TIME);
        assertThat(new Node(first).verifies(early.token()), is(false));
        assertThat(late.verifies(early.token()), is(true));
    }

    @Test
    void routerStartedDuringDistributionSignsWithFormerKey() {
        Node late = new Node(first);
        assertThat(late.verifies(new Node(second).token()), is(true));
    }

    @Test
    void secondRotationDuringDistributionKeepsFormerSigningKey() {
        Node early = new Node(first);
        early.write(second);
        early.write(second.rotated(random));
        assertThat(new Node(first).verifies(early.token()), is(true));
    }

    @Test
    void tokenRemainsValidAfterRotation() {
        Node node = new Node(first);
        String before = node.token();
        node.write(second);
        timers.advance(SessionSignerProvider.DISTRIBUTION_TIME);
        assertThat(node.signerProvider.get().verify(before), equalTo(Optional.of(TOKEN)));
    }

    private final class Node {
        private final Blackboard blackboard = Blackboard.create();
        private final SessionSignerProvider signerProvider = SessionSignerProvider.create();

        private Node(SessionSecrets secrets) {
            write(secrets);
            signerProvider.subscribe(blackboard, timers);
        }

        private void write(SessionSecrets secrets) {
            blackboard.write(Sections.SESSION_SECRETS, secrets);
        }

        private String token() {
            return signerProvider.get().sign(TOKEN).orElseThrow();
        }

        private boolean verifies(String token) {
            return signerProvider.get().verify(token).isPresent();
        }
    }
}
