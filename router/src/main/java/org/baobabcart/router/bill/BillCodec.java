package org.baobabcart.router.bill;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.baobabcart.model.platform.ObjectKinds;
import org.baobabcart.model.platform.StoredObject;
import org.baobabcart.model.request.Bill;
import org.baobabcart.policy.bill.BillSegment;
import org.baobabcart.wire.BillRecord;

/** Converts bills to and from platform objects and peer messages. Thread-safe. */
final class BillCodec {
    private static final String BILLS = "bills";
    private static final ObjectMapper MAPPER =
            new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    private BillCodec() {}

    static StoredObject toObject(BillSegment segment) {
        ObjectNode spec = MAPPER.createObjectNode();
        spec.set(BILLS, MAPPER.valueToTree(segment.bills()));
        return StoredObject.create(ObjectKinds.BILLS, segment.name(), spec);
    }

    static BillSegment toSegment(StoredObject object) {
        List<Bill> bills = new ArrayList<>();
        for (JsonNode bill : object.spec().path(BILLS)) {
            bills.add(MAPPER.convertValue(bill, Bill.class));
        }
        return new BillSegment(object.name(), bills);
    }

    static List<BillRecord> toWire(Collection<Bill> bills) {
        return bills.stream()
                .map(bill ->
                        new BillRecord(bill.requestId(), bill.workspace(), bill.model(), bill.version(), bill.units()))
                .toList();
    }

    static List<Bill> fromWire(Collection<BillRecord> records) {
        return records.stream()
                .map(record -> new Bill(
                        record.getRequestId(),
                        record.getWorkspace(),
                        record.getModel(),
                        record.getVersion(),
                        record.getUnits()))
                .toList();
    }
}
