package org.baobabcart.standins.service;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import io.vertx.core.json.JsonObject;
import org.baobabcart.standins.base.RunningStandIn;
import org.junit.jupiter.api.Test;

class RatingStandInTest {
    @Test
    void returnsTheQualityStatedInTheResponse() throws Exception {
        try (RunningStandIn ratings = RunningStandIn.start(RatingStandIn::create, RunningStandIn.settings())) {
            String withQuality = new JsonObject()
                    .put("answer", "m@v quality=0.7 tokens: t1 end")
                    .encode();
            String withoutQuality = new JsonObject().put("answer", "no figure").encode();
            assertThat(rating(ratings, withQuality), equalTo(0.7));
            assertThat(rating(ratings, withoutQuality), equalTo(0.0));
        }
    }

    private static double rating(RunningStandIn ratings, String request) throws Exception {
        return new JsonObject(ratings.call("POST", "/ratings", request).body()).getDouble("rating");
    }
}
