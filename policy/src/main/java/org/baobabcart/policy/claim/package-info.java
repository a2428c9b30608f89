/**
 * Claims of idempotency keys: the journals of partitions, the selection of a partition's owner, and the rules that
 * decide when a granted attempt may still be sent.
 */
package org.baobabcart.policy.claim;
