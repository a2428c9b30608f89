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
    void allCountsArriveOverTheWire() throws TException {
        VersionTotals totals = new VersionTotals(5, 2, 4, 3.5, 3.1, 5, 1.25, 0.4);
        EvidenceEntry entry = new EvidenceEntry("layout", "v2", "router-1#7", 42, totals);
        assertThat(EvidenceCodec.toEntry(sent(EvidenceCodec.toReport(entry))), equalTo(entry));
    }

    /** A router of before times were counted sends none. */
    @Test
    void aReportWithoutTimesCountsNone() throws TException {
        EvidenceReport old = new EvidenceReport("layout", "v2", "router-1#7", 42, 5, 2, 4, 3.5, 3.1);
        assertThat(old.isSetTimed(), is(false));
        VersionTotals totals = EvidenceCodec.toEntry(sent(old)).totals();
        assertThat(totals, equalTo(new VersionTotals(5, 2, 4, 3.5, 3.1, 0, 0, 0)));
    }

    private static EvidenceReport sent(EvidenceReport report) throws TException {
        byte[] bytes = new TSerializer(new TCompactProtocol.Factory()).serialize(report);
        EvidenceReport received = new EvidenceReport();
        new TDeserializer(new TCompactProtocol.Factory()).deserialize(received, bytes);
        return received;
    }
}
