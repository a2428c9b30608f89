package org.baobabcart.model.sheet;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;

/**
 * The operators' configuration: ranks, models and versions, cascades, workspaces, services, roll-outs, withdrawals and placements.
 *
 * <p>Immutable and thread-safe. Lists keep the order of the file; ranks are ordered from the most to the least urgent.
 * {@link SheetReader} validates each sheet that it reads.
 *
 * @param name the name of this sheet
 * @param defaultRank the rank of requests without one
 * @param placements the number of engines by data centre and version; omitted from the JSON if empty, so that readers
 *     that don't support this section can read the sheet
 */
public record Sheet(
        String name,
        String defaultRank,
        List<Rank> ranks,
        List<Model> models,
        List<Cascade> cascades,
        List<Workspace> workspaces,
        List<Service> services,
        List<RollOut> rollOuts,
        List<Withdrawal> withdrawals,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Placement> placements) {

    /** Copies the lists and replaces null by empty lists. */
    public Sheet {
        ranks = Lists.copyOrEmpty(ranks);
        models = Lists.copyOrEmpty(models);
        cascades = Lists.copyOrEmpty(cascades);
        workspaces = Lists.copyOrEmpty(workspaces);
        services = Lists.copyOrEmpty(services);
        rollOuts = Lists.copyOrEmpty(rollOuts);
        withdrawals = Lists.copyOrEmpty(withdrawals);
        placements = Lists.copyOrEmpty(placements);
    }

    /** Returns the model with this name, if declared. */
    public Optional<Model> model(String modelName) {
        return models.stream().filter(model -> model.name().equals(modelName)).findFirst();
    }

    /** Returns the cascade with this name, if declared. */
    public Optional<Cascade> cascade(String cascadeName) {
        return cascades.stream()
                .filter(cascade -> cascade.name().equals(cascadeName))
                .findFirst();
    }

    /** Returns the service with this name, if declared. */
    public Optional<Service> service(String serviceName) {
        return services.stream()
                .filter(service -> service.name().equals(serviceName))
                .findFirst();
    }

    /** Returns the workspace with this name, if declared. */
    public Optional<Workspace> workspace(String workspaceName) {
        return workspaces.stream()
                .filter(workspace -> workspace.name().equals(workspaceName))
                .findFirst();
    }

    /** Returns the rank with this name, if declared. */
    public Optional<Rank> rank(String rankName) {
        return ranks.stream().filter(rank -> rank.name().equals(rankName)).findFirst();
    }

    /** Returns the roll-out of this model, if declared. */
    public Optional<RollOut> rollOut(String modelName) {
        return rollOuts.stream()
                .filter(rollOut -> rollOut.model().equals(modelName))
                .findFirst();
    }

    /** Returns whether the sheet withdraws this version. */
    public boolean isWithdrawn(String modelName, String versionName) {
        return withdrawals.contains(new Withdrawal(modelName, versionName));
    }

    /** Returns a copy with another name. */
    public Sheet withName(String newName) {
        return new Sheet(
                newName, defaultRank, ranks, models, cascades, workspaces, services, rollOuts, withdrawals, placements);
    }

    /** Returns a copy with other models. */
    public Sheet withModels(List<Model> newModels) {
        return new Sheet(
                name, defaultRank, ranks, newModels, cascades, workspaces, services, rollOuts, withdrawals, placements);
    }

    /** Returns a copy with other roll-outs. */
    public Sheet withRollOuts(List<RollOut> newRollOuts) {
        return new Sheet(
                name, defaultRank, ranks, models, cascades, workspaces, services, newRollOuts, withdrawals, placements);
    }

    /** Returns a copy with an additional withdrawal, or this sheet if it contains the withdrawal. */
    public Sheet withWithdrawal(Withdrawal withdrawal) {
        if (withdrawals.contains(withdrawal)) {
            return this;
        }
        return new Sheet(
                name,
                defaultRank,
                ranks,
                models,
                cascades,
                workspaces,
                services,
                rollOuts,
                Lists.append(withdrawals, withdrawal),
                placements);
    }

    /** Returns a copy with other placements. */
    public Sheet withPlacements(List<Placement> newPlacements) {
        return new Sheet(
                name, defaultRank, ranks, models, cascades, workspaces, services, rollOuts, withdrawals, newPlacements);
    }
}
