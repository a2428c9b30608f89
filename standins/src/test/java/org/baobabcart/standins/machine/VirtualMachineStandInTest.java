package org.baobabcart.standins.machine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import org.baobabcart.standins.base.RunningStandIn;
import org.junit.jupiter.api.Test;

class VirtualMachineStandInTest {
    @Test
    void listsWrongEntriesAsLive() throws Exception {
        try (RunningStandIn list = RunningStandIn.start(VirtualMachineStandIn::create, RunningStandIn.settings())) {
            list.call("PUT", "/vms/engine-1", "{\"name\":\"engine-1\",\"state\":\"LEAVING\"}");
            list.fault("{\"wrong\":[\"engine-1\"]}");
            list.call("DELETE", "/vms/engine-1", "");
            assertThat(states(list), equalTo("[{\"name\":\"engine-1\",\"state\":\"LIVE\"}]"));
            list.fault("{\"wrong\":false}");
            assertThat(states(list), equalTo("[]"));
        }
    }

    private static String states(RunningStandIn list) throws Exception {
        return list.json("/vms").getJsonArray("virtualMachines").encode();
    }
}
