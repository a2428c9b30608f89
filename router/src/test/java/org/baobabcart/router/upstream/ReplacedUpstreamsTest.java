package org.baobabcart.router.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.baobabcart.model.platform.VirtualMachine;
import org.junit.jupiter.api.Test;

class ReplacedUpstreamsTest {
    private final ReplacedUpstreams replaced = ReplacedUpstreams.create();

    @Test
    void upstreamIsReplacedUntilItsEntryChanges() {
        assertThat(replaced.add(upstream("http://127.0.0.1:1", 1), 0), is(true));
        assertThat(replaced.add(upstream("http://127.0.0.1:1", 1), 1), is(false));
        assertThat(replaced.contains(upstream("http://127.0.0.1:1", 1), 1), is(true));
        assertThat(replaced.contains(upstream("http://127.0.0.1:1", 2), 1), is(false));
        assertThat(replaced.contains(upstream("http://127.0.0.1:2", 1), 1), is(false));
        assertThat(
                replaced.contains(upstream("http://127.0.0.1:1", 1), ReplacedUpstreams.VALIDITY.toNanos() + 1),
                is(false));
    }

    @Test
    void entriesThatAreNoLongerListedAreForgotten() {
        VirtualMachine upstream = upstream("http://127.0.0.1:1", 1);
        replaced.add(upstream, 0);
        replaced.removeStale(List.of(upstream), 1);
        assertThat(replaced.isEmpty(), is(false));
        replaced.removeStale(List.of(upstream("http://127.0.0.1:1", 2)), 1);
        assertThat(replaced.isEmpty(), is(true));
        replaced.add(upstream, 0);
        replaced.removeStale(List.of(), 1);
        assertThat(replaced.isEmpty(), is(true));
    }

    private static VirtualMachine upstream(String address, long incarnation) {
        return new VirtualMachine(
                        "one",
                        VirtualMachine.Role.SERVICE,
                        "a",
                        VirtualMachine.State.LIVE,
                        address,
                        "",
                        "v1",
                        "service")
                .withCapacity(1, incarnation);
    }
}
