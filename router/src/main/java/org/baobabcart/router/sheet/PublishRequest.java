package org.baobabcart.router.sheet;

import java.util.OptionalLong;
import java.util.Set;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.Withdrawal;

/**
 * What an operator asks to be published. Immutable.
 *
 * @param sheet the sheet, checked
 * @param publishedBy who publishes it
 * @param expectedGeneration the generation that the operator has looked at; empty for whichever stands there
 * @param reinstated withdrawals of the sheet in force that are ended on purpose; all others are kept
 */
public record PublishRequest(
        Sheet sheet, String publishedBy, OptionalLong expectedGeneration, Set<Withdrawal> reinstated) {
    /** Copies the set. */
    public PublishRequest {
        reinstated = Set.copyOf(reinstated);
    }

    /** A request to publish over whichever sheet stands there and to keep all withdrawals. */
    public static PublishRequest of(Sheet sheet, String publishedBy) {
        return new PublishRequest(sheet, publishedBy, OptionalLong.empty(), Set.of());
    }

    /** The same request against the generation that the operator has looked at. */
    public PublishRequest withExpectedGeneration(long generation) {
        return new PublishRequest(sheet, publishedBy, OptionalLong.of(generation), reinstated);
    }

    /** The same request with withdrawals ended. */
    public PublishRequest withReinstated(Set<Withdrawal> newReinstated) {
        return new PublishRequest(sheet, publishedBy, expectedGeneration, newReinstated);
    }
}
