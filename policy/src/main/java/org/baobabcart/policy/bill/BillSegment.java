package org.baobabcart.policy.bill;

import java.util.List;
import org.baobabcart.model.request.Bill;

/**
 * Bills that are committed together as one object of the platform. The name is unique to the content, so that creating
 * the object again after a lost answer either succeeds or shows that the object exists. Immutable.
 *
 * @param name the name of the object
 * @param bills the bills
 */
public record BillSegment(String name, List<Bill> bills) {
    /** The maximum number of bills in a segment, about a third of the platform's limit on the size of a value. */
    public static final int MAX_BILLS = 2000;

    /** Copies the list. */
    public BillSegment {
        bills = List.copyOf(bills);
    }
}
