package org.baobabcart.router.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.Map;
import org.baobabcart.model.gateway.VersionOrder;
import org.baobabcart.policy.version.LatencyHistogram;
import org.baobabcart.policy.version.ServiceEvidence;
import org.baobabcart.policy.version.VersionCounts;
import org.baobabcart.policy.version.VersionRequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class EvidenceReportTest {
    private static final VersionOrder ORDER = new TestOrderCodec().order(TestOrderCodec.object(Duration.ofSeconds(9)));

    @Test
    void reportSurvivesAJsonRoundTrip() {
        LatencyHistogram startTimes = LatencyHistogram.of(Map.of(3, 7L, 40, 2L));
        ServiceEvidence evidence = new ServiceEvidence(Map.of(
                new VersionRequestClass("v1", "chat small"),
                        new VersionCounts(9, 1, startTimes, LatencyHistogram.empty()),
                new VersionRequestClass("v2", "chat small"),
                        new VersionCounts(0, 0, LatencyHistogram.empty(), startTimes)));
        EvidenceReport report = EvidenceReport.of(ORDER, evidence);
        assertThat(EvidenceReport.fromJson(report.toJson()), is(report));
        assertThat(report.isFor(ORDER), is(true));
    }

    @Test
    void reportOnAnEarlierOrderIsDistinguished() {
        VersionOrder later = new TestOrderCodec().order(TestOrderCodec.object("second", Duration.ofSeconds(9)));
        assertThat(EvidenceReport.of(ORDER, ServiceEvidence.none()).isFor(later), is(false));
    }

    /** Any process may write to the platform's store, so that the content may be arbitrary JSON. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "[]",
                "7",
                "{\"order\": [], \"outcomes\": 3}",
                "{\"outcomes\": [7, null, {\"begun\": \"x\", \"unbegun\": {\"a\": 1, \"-3\": 2, \"99999999999\": 1}}]}",
                "{\"outcomes\": [{\"answers\": -5, \"failures\": \"many\", \"begun\": {\"3\": -1, \"4\": []}}]}"
            })
    void invalidContentIsReadAsZeroCounts(String text) throws JsonProcessingException {
        EvidenceReport report = EvidenceReport.fromJson(new ObjectMapper().readTree(text));
        report.evidence().counts().values().forEach(counts -> assertThat(counts, is(VersionCounts.none())));
        assertThat(report.isFor(ORDER), is(false));
    }
}
