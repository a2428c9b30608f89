package org.baobabcart.policy.member;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The newest statement about each member. Immutable.
 *
 * <p>Merging is commutative, associative, idempotent and monotone, so that nodes that have received the same
 * statements in any order and number have equal tables.
 */
public final class MembershipTable {
    private static final MembershipTable EMPTY = new MembershipTable(new TreeMap<>());

    private final TreeMap<String, MemberStatement> statements;

    private MembershipTable(TreeMap<String, MemberStatement> statements) {
        this.statements = statements;
    }

    /** Returns a table without members. */
    public static MembershipTable empty() {
        return EMPTY;
    }

    /** Returns the statements, sorted by member name. */
    public Collection<MemberStatement> statements() {
        return java.util.Collections.unmodifiableCollection(statements.values());
    }

    /** Returns the statement about one member. */
    public Optional<MemberStatement> of(String nodeId) {
        return Optional.ofNullable(statements.get(nodeId));
    }

    /**
     * Returns a digest of the members that are not dead, independent of their order.
     *
     * <p>Dead members are excluded, since nodes remove them at different times.
     */
    public long digest() {
        return statements.values().stream().mapToLong(MemberStatement::digest).sum();
    }

    /** Returns this table with one more statement; the same instance if the statement is not newer. */
    public MembershipTable with(MemberStatement statement) {
        MemberStatement known = statements.get(statement.nodeId());
        if (known != null && !statement.supersedes(known)) {
            return this;
        }
        TreeMap<String, MemberStatement> merged = new TreeMap<>(statements);
        merged.put(statement.nodeId(), statement);
        return new MembershipTable(merged);
    }

    /** Returns the merge of two tables. */
    public MembershipTable mergedWith(MembershipTable other) {
        MembershipTable merged = this;
        for (MemberStatement statement : other.statements.values()) {
            merged = merged.with(statement);
        }
        return merged;
    }

    /** Returns this table without a member. */
    public MembershipTable without(String nodeId) {
        if (!statements.containsKey(nodeId)) {
            return this;
        }
        TreeMap<String, MemberStatement> remaining = new TreeMap<>(statements);
        remaining.remove(nodeId);
        return new MembershipTable(remaining);
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
