package org.baobabcart.router.traffic;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.sheet.Cascade;
import org.baobabcart.model.sheet.Model;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.Version;
import org.baobabcart.model.sheet.Workspace;
import org.baobabcart.policy.cascade.CascadePlan;
import org.baobabcart.policy.cascade.CascadeStep;
import org.baobabcart.policy.version.ModelReference;

/**
 * The steps to serve a request: one for a model, several for a cascade. Immutable.
 *
 * @param steps the model of each step, cheapest first
 * @param qualityTarget the rating below which the next step is tried
 * @param workspace the workspace, with the models of the cascade's steps added
 */
record StepPlan(List<ModelReference> steps, double qualityTarget, Workspace workspace) {
    /**
     * Returns the steps for a requested model or cascade; fails with {@code UNKNOWN_MODEL} or {@code
     * MODEL_NOT_ALLOWED}.
     */
    static StepPlan of(Sheet sheet, Workspace workspace, String requested) {
        Optional<Cascade> cascade = sheet.cascade(requested);
        if (cascade.isEmpty()) {
            ModelReference reference = ModelReference.parse(requested);
            if (sheet.model(reference.model()).isEmpty()) {
                throw BaobabcartException.of(ResultCode.UNKNOWN_MODEL);
            }
            return new StepPlan(List.of(reference), 0, workspace);
        }
        if (!workspace.models().contains(requested)) {
            throw BaobabcartException.of(ResultCode.MODEL_NOT_ALLOWED);
        }
        List<ModelReference> steps =
                cascade.get().steps().stream().map(ModelReference::parse).toList();
        return new StepPlan(steps, cascade.get().qualityTarget(), withCascadeModels(workspace, steps));
    }

    /** Returns the costs and qualities that the sheet declares for the steps; empty if there is only one step. */
    Optional<CascadePlan> cascade(Sheet sheet) {
        if (steps.size() < 2) {
            return Optional.empty();
        }
        List<CascadeStep> costs =
                steps.stream().map(reference -> costOf(sheet, reference)).toList();
        return Optional.of(new CascadePlan(qualityTarget, costs));
    }

    ModelReference step(int index) {
        return steps.get(index);
    }

    int size() {
        return steps.size();
    }

    /**
     * Returns the cost of the referenced version, or of the version with the largest share if the reference names none.
     */
    private static CascadeStep costOf(Sheet sheet, ModelReference reference) {
        Model model = sheet.model(reference.model()).orElseThrow();
        Version version = reference
                .version()
                .flatMap(model::version)
                .orElseGet(() -> model.versions().stream()
                        .max(Comparator.comparingDouble(Version::share))
                        .orElseThrow());
        return new CascadeStep(reference.toString(), version.costPerThousandTokens(), version.quality());
    }

    private static Workspace withCascadeModels(Workspace workspace, List<ModelReference> steps) {
        Stream<String> added = steps.stream().map(ModelReference::model).filter(model -> !namesModel(workspace, model));
        List<String> models =
                Stream.concat(workspace.models().stream(), added).distinct().toList();
        return new Workspace(workspace.name(), workspace.keyHashes(), models, workspace.services(), workspace.weight());
    }

    private static boolean namesModel(Workspace workspace, String model) {
        return workspace.models().stream()
                .anyMatch(entry -> ModelReference.parse(entry).model().equals(model));
    }
}
