package org.baobabcart.policy.version;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.baobabcart.model.rollout.RollOutProgress;
import org.baobabcart.model.rollout.RollOutState;
import org.baobabcart.model.rollout.RollOutStatus;
import org.baobabcart.model.sheet.Model;
import org.baobabcart.model.sheet.RollOut;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.Version;
import org.baobabcart.model.sheet.Workspace;

/**
 * Selects versions by the shares in the sheet and the progress of roll-outs. Immutable and thread-safe.
 *
 * <p>Never selects a version that is withdrawn or that the workspace may not use.
 */
public final class VersionPolicy {
    private final Sheet sheet;
    private final RollOutState rollOuts;

    private VersionPolicy(Sheet sheet, RollOutState rollOuts) {
        this.sheet = sheet;
        this.rollOuts = rollOuts;
    }

    /** Creates a policy for a sheet and a state of roll-outs. */
    public static VersionPolicy of(Sheet sheet, RollOutState rollOuts) {
        return new VersionPolicy(sheet, rollOuts);
    }

    /** Returns whether the version is withdrawn by the sheet or by the state of roll-outs. */
    public boolean isWithdrawn(String model, String version) {
        return sheet.isWithdrawn(model, version) || rollOuts.isWithdrawn(model, version);
    }

    /**
     * Selects a version for a new request or session.
     *
     * @param served whether any upstream runs the version
     * @param uniform a random number from 0 (inclusive) to 1 (exclusive)
     * @return the version, or empty if none that the workspace may use is both in service and served
     */
    public Optional<String> choose(Model model, Workspace workspace, Predicate<String> served, double uniform) {
        Map<String, Double> weights = weights(model, workspace);
        if (weights.values().stream().noneMatch(weight -> weight > 0)) {
            return fallback(model, workspace).filter(served);
        }
        weights.keySet().removeIf(version -> !served.test(version) || weights.get(version) <= 0);
        double total =
                weights.values().stream().mapToDouble(Double::doubleValue).sum();
        double remaining = uniform * total;
        String chosen = null;
        for (Map.Entry<String, Double> entry : weights.entrySet()) {
            chosen = entry.getKey();
            remaining -= entry.getValue();
            if (remaining < 0) {
                break;
            }
        }
        return Optional.ofNullable(chosen);
    }

    /** Returns whether the workspace may use the version and it is not withdrawn. */
    public boolean isUsable(Model model, Workspace workspace, String version) {
        return usable(model, workspace).stream().anyMatch(entry -> entry.name().equals(version));
    }

    /**
     * Returns the version for a session that was named by the caller: the first declared version that is neither
     * withdrawn nor forbidden to the workspace.
     *
     * <p>The result depends neither on shares nor on upstreams, so that all routers agree while those change.
     */
    public Optional<String> versionForNamedSession(Model model, Workspace workspace) {
        return usable(model, workspace).stream().map(Version::name).findFirst();
    }

    /**
     * Returns the unnormalised share of new work for each version that the workspace may use, in the order of the
     * sheet.
     */
    public Map<String, Double> weights(Model model, Workspace workspace) {
        Optional<RollOut> rollOut = sheet.rollOut(model.name());
        Map<String, Double> weights = new LinkedHashMap<>();
        for (Version version : usable(model, workspace)) {
            weights.put(version.name(), share(model, version, rollOut));
        }
        return weights;
    }

    private Optional<String> fallback(Model model, Workspace workspace) {
        List<Version> usable = usable(model, workspace);
        return usable.stream()
                .map(Version::name)
                .filter(version -> !isInactiveTarget(model.name(), version))
                .findFirst();
    }

    private List<Version> usable(Model model, Workspace workspace) {
        return model.versions().stream()
                .filter(version -> !isWithdrawn(model.name(), version.name()))
                .filter(version -> workspace.allows(model.name(), version.name()))
                .toList();
    }

    private double share(Model model, Version version, Optional<RollOut> rollOut) {
        Optional<RollOutProgress> progress = rollOut.flatMap(this::progress);
        if (progress.isEmpty()) {
            return version.share();
        }
        double target = targetShare(rollOut.get(), progress.get());
        if (version.name().equals(rollOut.get().to())) {
            return target;
        }
        double others = model.versions().stream()
                .filter(other -> !other.name().equals(rollOut.get().to()))
                .mapToDouble(Version::share)
                .sum();
        if (others <= 0) {
            return version.name().equals(rollOut.get().from()) ? 1 - target : 0;
        }
        return (1 - target) * version.share() / others;
    }

    private Optional<RollOutProgress> progress(RollOut rollOut) {
        return rollOuts.of(rollOut.model()).filter(progress -> progress.to().equals(rollOut.to()));
    }

    private boolean isInactiveTarget(String model, String version) {
        return sheet.rollOut(model)
                .filter(rollOut -> rollOut.to().equals(version))
                .filter(rollOut -> progress(rollOut)
                        .filter(progress -> progress.status().serving())
                        .isEmpty())
                .isPresent();
    }

    private static double targetShare(RollOut rollOut, RollOutProgress progress) {
        if (!progress.status().serving()) {
            return 0;
        }
        if (progress.status() == RollOutStatus.DONE) {
            return 1;
        }
        int stage = Math.max(0, Math.min(progress.stage(), rollOut.stages().size() - 1));
        return rollOut.stages().get(stage).share();
    }
}
