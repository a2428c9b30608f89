package org.baobabcart.policy.member;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The newest statement about each member. Immutable.
 *
 * <p>The merge is commutative, associative, idempotent and monotone, so that nodes that have heard the same statements
 * in any order and number agree.
 */
public final class MembershipTable {
    private static final MembershipTable EMPTY = new MembershipTable(new TreeMap<>());

    private final TreeMap<String, MemberStatement> statements;

    private MembershipTable(TreeMap<String, MemberStatement> statements) {
        this.statements = statements;
    }

    /** A table without members. */
    public static MembershipTable empty() {
        return EMPTY;
    }

    /** The statements in the order of the members' names. */
    public Collection<MemberStatement> statements() {
        return java.util.Collections.unmodifiableCollection(statements.values());
    }

    /** The statement about one member. */
    public Optional<MemberStatement> of(String nodeId) {
        return Optional.ofNullable(statements.get(nodeId));
    }

    /**
     * A digest of the members that are not dead, in which the order does not matter.
     *
     * <p>Dead members are left out, since nodes forget them at different times.
     */
    public long digest() {
        return statements.values().stream().mapToLong(MemberStatement::digest).sum();
    }

    /** The table with one more statement; the same instance where it tells nothing new. */
    public MembershipTable with(MemberStatement statement) {
        MemberStatement known = statements.get(statement.nodeId());
        if (known != null && !statement.supersedes(known)) {
            return this;
        }
        TreeMap<String, MemberStatement> merged = new TreeMap<>(statements);
        merged.put(statement.nodeId(), statement);
        return new MembershipTable(merged);
    }

    /** The merge of two tables. */
    public MembershipTable mergedWith(MembershipTable other) {
        MembershipTable merged = this;
        for (MemberStatement statement : other.statements.values()) {
            merged = merged.with(statement);
        }
        return merged;
    }

    /** The table without a member that has been gone for long enough. */
    public MembershipTable without(String nodeId) {
        if (!statements.containsKey(nodeId)) {
            return this;
        }
        TreeMap<String, MemberStatement> fewer = new TreeMap<>(statements);
        fewer.remove(nodeId);
        return new MembershipTable(fewer);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof MembershipTable table && statements.equals(table.statements);
    }

    @Override
    public int hashCode() {
        return statements.hashCode();
    }

    @Override
    public String toString() {
        return Map.copyOf(statements).toString();
    }
}
