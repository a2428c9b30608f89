package org.baobabcart.policy.bill;

import java.util.List;
import org.baobabcart.model.request.Bill;

/**
 * Bills that are committed together as one object of the platform. Immutable; the name is unique to the content, so that
 * creating the object again after a lost answer either succeeds or proves that it exists.
 *
 * @param name the object's name
 * @param bills the bills
 */
public record BillSegment(String name, List<Bill> bills) {
    /** Most bills in one segment; about a third of the platform's limit on the size of a value. */
    public static final int MAX_BILLS = 2000;

    /** Copies the list. */
    public BillSegment {
        bills = List.copyOf(bills);
    }
}
