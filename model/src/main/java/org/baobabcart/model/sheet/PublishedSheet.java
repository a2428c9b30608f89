package org.baobabcart.model.sheet;

/**
 * A sheet as stored in the platform, with its publication data. Immutable.
 *
 * @param generation a number that increases by one with each accepted sheet
 * @param publishId the publisher's id of the attempt, which shows after a lost response whether the write took effect
 * @param publishedBy the publisher
 * @param publishedAtMillis the time of publication by the publisher's clock, in milliseconds since the epoch
 * @param sheet the published sheet
 */
public record PublishedSheet(
        long generation, String publishId, String publishedBy, long publishedAtMillis, Sheet sheet) {}
