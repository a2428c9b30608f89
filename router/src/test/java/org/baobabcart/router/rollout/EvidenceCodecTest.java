package org.baobabcart.router.rollout;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.baobabcart.policy.rollout.EvidenceEntry;
import org.baobabcart.policy.rollout.VersionTotals;
import org.baobabcart.wire.EvidenceReport;
import org.junit.jupiter.api.Test;

class EvidenceCodecTest {
    @Test
    void roundTripPreservesAllCounts() throws TException {
        VersionTotals totals = new VersionTotals(5, 2, 4, 3.5, 3.1, 5, 1.25, 0.4);
        EvidenceEntry entry = new EvidenceEntry("layout", "v2", "router-1#7", 42, totals);
        assertThat(EvidenceCodec.toEntry(sendAndReceive(EvidenceCodec.toReport(entry))), equalTo(entry));
    }

    /** Routers that do not support latency evidence leave the latency fields unset. */
    @Test
    void reportWithoutLatencyFieldsIsReadAsZero() throws TException {
        EvidenceReport oldReport = new EvidenceReport("layout", "v2", "router-1#7", 42, 5, 2, 4, 3.5, 3.1);
        assertThat(oldReport.isSetTimed(), is(false));
        VersionTotals totals = EvidenceCodec.toEntry(sendAndReceive(oldReport)).totals();
        assertThat(totals, equalTo(new VersionTotals(5, 2, 4, 3.5, 3.1, 0, 0, 0)));
    }

    private static EvidenceReport sendAndReceive(EvidenceReport report) throws TException {
        byte[] bytes = new TSerializer(new TCompactProtocol.Factory()).serialize(report);
        EvidenceReport received = new EvidenceReport();
        new TDeserializer(new TCompactProtocol.Factory()).deserialize(received, bytes);
        return received;
    }
}
