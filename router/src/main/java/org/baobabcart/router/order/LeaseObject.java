package org.baobabcart.router.order;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.policy.lease.LeaseRecord;

/**
 * A lease with its journal, as stored in the platform. Immutable.
 *
 * @param holder the node that holds the lease, empty if it was released
 * @param fencing the fencing number, which grows by one with each change of the holder
 * @param journal the orders that the holder may have sent, and the failed loads
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record LeaseObject(String holder, long fencing, OrderJournal journal) {
    private static final ObjectMapper MAPPER = JsonMapper.builder().build();

    LeaseObject {
        holder = holder == null ? "" : holder;
        journal = journal == null ? OrderJournal.empty() : journal;
    }

    static LeaseObject of(LeaseRecord lease, OrderJournal journal) {
        return new LeaseObject(lease.holder(), lease.fencing(), journal);
    }

    static LeaseObject free() {
        return of(LeaseRecord.free(), OrderJournal.empty());
    }

    /** Reads the specification of a stored object; fails with {@code INTERNAL} if it is not a lease. */
    static LeaseObject read(JsonNode specification) {
        try {
            return MAPPER.treeToValue(specification, LeaseObject.class);
        } catch (JsonProcessingException exception) {
            throw BaobabcartException.of(ResultCode.INTERNAL, exception.getOriginalMessage())
                    .withCause(exception);
        }
    }

    JsonNode write() {
        return MAPPER.valueToTree(this);
    }

    LeaseRecord lease() {
        return new LeaseRecord(holder, fencing);
    }
}
