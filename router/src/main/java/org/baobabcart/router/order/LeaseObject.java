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
 * A lease with its journal, as it stands in the platform. Immutable.
 *
 * @param holder the node that holds it, empty where it was given back
 * @param fencing grows by one with each change of the holder
 * @param journal what the holder may have ordered
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

    /** Reads an object of the platform; fails with {@code INTERNAL} where it is none. */
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
