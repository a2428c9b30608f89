package org.baobabcart.router.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import java.util.ArrayList;
import java.util.List;
import org.baobabcart.router.control.Blackboard;
import org.baobabcart.router.control.Sections;
import org.baobabcart.wire.Exchange;
import org.junit.jupiter.api.Test;

/** Crash counts of several routers that exchange them. */
class CrashControllerTest {
    private final List<String> exchanges = new ArrayList<>();

    @Test
    void crashesOfAllRoutersAreSummed() {
        Blackboard firstBoard = Blackboard.create();
        Blackboard secondBoard = Blackboard.create();
        CrashController first = controller(firstBoard, "r1");
        CrashController second = controller(secondBoard, "r2");
        first.crashed("e1", "f");
        first.crashed("e1", "f");
        second.crashed("e2", "f");
        second.crashed("e2", "f");
        assertThat(firstBoard.read(Sections.QUARANTINED), empty());
        assertThat(exchanges, contains("r1", "r1", "r2", "r2"));
        Exchange exchange = new Exchange();
        exchange.setCrashes(new ArrayList<>());
        second.contribute(exchange);
        first.received(exchange, "peer");
        first.received(exchange, "peer");
        assertThat(firstBoard.read(Sections.QUARANTINED), contains("f"));
        assertThat(secondBoard.read(Sections.QUARANTINED), empty());
    }

    private CrashController controller(Blackboard blackboard, String router) {
        return CrashController.create(blackboard, (type, request, detail) -> {}, () -> exchanges.add(router), router);
    }
}
