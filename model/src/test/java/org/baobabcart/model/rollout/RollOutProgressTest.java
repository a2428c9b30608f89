package org.baobabcart.model.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

class RollOutProgressTest {
    private final RollOutProgress running = new RollOutProgress("model", "v2", RollOutStatus.RUNNING, 0, "");

    @Test
    void epochIncreasesWhenStageStartsOrRestarts() {
        RollOutProgress stopped = running.withStage(1).withStatus(RollOutStatus.STOPPED, "bad");
        assertThat(stopped.epoch(), equalTo(1L));
        assertThat(stopped.withStatus(RollOutStatus.RUNNING, "by an operator").epoch(), equalTo(2L));
        assertThat(running.withStatus(RollOutStatus.RUNNING, "again").epoch(), equalTo(0L));
    }

    @Test
    void jsonRoundTripAndDefaultEpoch() throws Exception {
        ObjectMapper mapper = new ObjectMapper();
        RollOutProgress second = running.withStage(1);
        assertThat(mapper.readValue(mapper.writeValueAsString(second), RollOutProgress.class), equalTo(second));
        String older = "{\"model\":\"model\",\"to\":\"v2\",\"status\":\"RUNNING\",\"stage\":0,\"reason\":\"\"}";
        assertThat(mapper.readValue(older, RollOutProgress.class), equalTo(running));
    }
}
