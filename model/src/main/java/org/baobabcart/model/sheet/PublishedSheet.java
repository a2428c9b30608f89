package org.baobabcart.model.sheet;

/**
 * A sheet as it stands in the platform. Immutable.
 *
 * @param generation a number that grows by one with each accepted sheet
 * @param publishId the publisher's own id of the attempt, by which a lost answer is settled
 * @param publishedBy who published it
 * @param publishedAtMillis when, in milliseconds since the epoch on the publisher's clock
 * @param sheet the sheet itself
 */
public record PublishedSheet(
        long generation, String publishId, String publishedBy, long publishedAtMillis, Sheet sheet) {}
