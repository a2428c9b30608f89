/**
 * Decisions on claims of idempotency keys: journals of partitions, who owns a partition, and when a granted attempt may
 * still be sent.
 */
package org.baobabcart.policy.claim;
