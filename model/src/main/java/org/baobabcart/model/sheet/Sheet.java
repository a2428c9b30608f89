package org.baobabcart.model.sheet;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;

/**
 * What operators declare: ranks, models and versions, cascades, workspaces, services, roll-outs, withdrawals and placements.
 *
 * <p>Immutable and thread-safe. Lists keep the order of the file; ranks are ordered from the most to the least urgent.
 * A sheet is only made by {@link SheetReader}, which checks it whole.
 *
 * @param name the operators' name of this sheet
 * @param defaultRank the rank of requests that name none
 * @param placements how many engines serve which versions; left out of the file where there are none, so that readers of
 *     sheets without this section can read it
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

    /** Replaces missing lists by empty ones and copies the others. */
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

    /** The model of this name, if declared. */
    public Optional<Model> model(String modelName) {
        return models.stream().filter(model -> model.name().equals(modelName)).findFirst();
    }

    /** The cascade of this name, if declared. */
    public Optional<Cascade> cascade(String cascadeName) {
        return cascades.stream()
                .filter(cascade -> cascade.name().equals(cascadeName))
                .findFirst();
    }

    /** The service of this name, if declared. */
    public Optional<Service> service(String serviceName) {
        return services.stream()
                .filter(service -> service.name().equals(serviceName))
                .findFirst();
    }

    /** The workspace of this name, if declared. */
    public Optional<Workspace> workspace(String workspaceName) {
        return workspaces.stream()
                .filter(workspace -> workspace.name().equals(workspaceName))
                .findFirst();
    }

    /** The rank of this name, if declared. */
    public Optional<Rank> rank(String rankName) {
        return ranks.stream().filter(rank -> rank.name().equals(rankName)).findFirst();
    }

    /** The roll-out of this model, if one is declared. */
    public Optional<RollOut> rollOut(String modelName) {
        return rollOuts.stream()
                .filter(rollOut -> rollOut.model().equals(modelName))
                .findFirst();
    }

    /** Whether the sheet withdraws this version. */
    public boolean isWithdrawn(String modelName, String versionName) {
        return withdrawals.contains(new Withdrawal(modelName, versionName));
    }

    /** The same sheet with one more withdrawal. */
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

    /** The same sheet with other placements. */
    public Sheet withPlacements(List<Placement> newPlacements) {
        return new Sheet(
                name, defaultRank, ranks, models, cascades, workspaces, services, rollOuts, withdrawals, newPlacements);
    }
}
