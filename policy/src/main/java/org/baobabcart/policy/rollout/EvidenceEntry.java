package org.baobabcart.policy.rollout;

/**
 * What one node has counted of one version during one stage. Immutable.
 *
 * @param model the model's name
 * @param version the version's name
 * @param nodeId the node with its incarnation, since counting begins anew with each start
 * @param stageEpoch the beginning of a stage that the counts belong to
 * @param totals the counts
 */
public record EvidenceEntry(String model, String version, String nodeId, long stageEpoch, VersionTotals totals) {}
