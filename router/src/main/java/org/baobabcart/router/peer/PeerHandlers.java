package org.baobabcart.router.peer;

/**
 * Handlers of the calls of other routers. Immutable.
 *
 * @param members handles exchanges and probes
 * @param documents handles document fetches
 * @param claims handles claims of idempotency keys
 * @param bills handles the safekeeping of bills
 */
public record PeerHandlers(MemberHandler members, DocumentHandler documents, ClaimHandler claims, BillHandler bills) {}
