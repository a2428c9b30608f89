package org.baobabcart.policy.outage;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.baobabcart.model.platform.VirtualMachine;

/** An upstream that had left got work for as long as its registration might have come back. */
class UnconfirmedUpstreamsTest {
    @Property
    void onlyAServiceThatHasLostMostUpstreamsUsesThem(
            @ForAll @IntRange(max = 12) int listed, @ForAll @IntRange(max = 12) int missing) {
        List<VirtualMachine> machines = new ArrayList<>(machines("desk", "listed", listed));
        machines.addAll(machines("desk", "missing", missing));
        machines.addAll(machines("other", "neighbour", 20));
        Set<String> unconfirmed = new HashSet<>();
        machines("desk", "missing", missing).forEach(machine -> unconfirmed.add(machine.name()));
        List<VirtualMachine> result = UnconfirmedUpstreams.withoutNewWork(machines, unconfirmed);
        for (VirtualMachine machine : result) {
            boolean hasNewWork = !unconfirmed.contains(machine.name()) || missing > listed;
            assertThat(machine.state() == VirtualMachine.State.LIVE, is(hasNewWork));
        }
        assertThat(result.size(), is(machines.size()));
    }

    private static List<VirtualMachine> machines(String service, String name, int count) {
        List<VirtualMachine> machines = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            machines.add(new VirtualMachine(
                    name + "-" + index,
                    VirtualMachine.Role.SERVICE,
                    "a",
                    VirtualMachine.State.LIVE,
                    "http://127.0.0.1:1",
                    "",
                    "v1",
                    service));
        }
        return machines;
    }
}
