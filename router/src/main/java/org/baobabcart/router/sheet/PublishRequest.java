package org.baobabcart.router.sheet;

import java.util.OptionalLong;
import java.util.Set;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.Withdrawal;

/**
 * An operator's request to publish a sheet. Immutable.
 *
 * @param sheet the validated sheet
 * @param publishedBy the name of the operator
 * @param expectedGeneration the generation that the operator based the change on; empty to replace any generation
 * @param reinstated withdrawals of the current sheet to end; all others are kept
 */
public record PublishRequest(
        Sheet sheet, String publishedBy, OptionalLong expectedGeneration, Set<Withdrawal> reinstated) {
    /** Copies the set. */
    public PublishRequest {
        reinstated = Set.copyOf(reinstated);
    }

    /** Creates a request that replaces any current sheet and keeps all withdrawals. */
    public static PublishRequest of(Sheet sheet, String publishedBy) {
        return new PublishRequest(sheet, publishedBy, OptionalLong.empty(), Set.of());
    }

    /** Returns this request with an expected generation. */
    public PublishRequest withExpectedGeneration(long generation) {
        return new PublishRequest(sheet, publishedBy, OptionalLong.of(generation), reinstated);
    }

    /** Returns this request with the given withdrawals ended. */
    public PublishRequest withReinstated(Set<Withdrawal> newReinstated) {
        return new PublishRequest(sheet, publishedBy, expectedGeneration, newReinstated);
    }
}
