package org.baobabcart.router.peer;

/**
 * Who serves which calls of other routers. Immutable.
 *
 * @param members serves exchanges and probes
 * @param documents serves documents
 * @param claims serves claims of idempotency keys
 * @param bills holds bills
 */
public record PeerHandlers(MemberHandler members, DocumentHandler documents, ClaimHandler claims, BillHandler bills) {}
