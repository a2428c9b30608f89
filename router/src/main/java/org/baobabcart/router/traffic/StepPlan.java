package org.baobabcart.router.traffic;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.sheet.Cascade;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.Workspace;
import org.baobabcart.policy.version.ModelReference;

/**
 * The steps by which a request is answered: one for a model, several for a cascade. Immutable.
 *
 * @param steps what each step asks for, the cheapest first
 * @param qualityTarget the rating below which the next step is tried
 * @param workspace the workspace with the allowances that a cascade brings
 */
record StepPlan(List<ModelReference> steps, double qualityTarget, Workspace workspace) {
    /** The plan for what a caller names; fails with {@code UNKNOWN_MODEL} or {@code MODEL_NOT_ALLOWED}. */
    static StepPlan of(Sheet sheet, Workspace workspace, String asked) {
        Optional<Cascade> cascade = sheet.cascade(asked);
        if (cascade.isEmpty()) {
            ModelReference reference = ModelReference.parse(asked);
            if (sheet.model(reference.model()).isEmpty()) {
                throw BaobabcartException.of(ResultCode.UNKNOWN_MODEL);
            }
            return new StepPlan(List.of(reference), 0, workspace);
        }
        if (!workspace.models().contains(asked)) {
            throw BaobabcartException.of(ResultCode.MODEL_NOT_ALLOWED);
        }
        List<ModelReference> steps =
                cascade.get().steps().stream().map(ModelReference::parse).toList();
        return new StepPlan(steps, cascade.get().qualityTarget(), withSteps(workspace, steps));
    }

    ModelReference step(int index) {
        return steps.get(index);
    }

    int size() {
        return steps.size();
    }

    private static Workspace withSteps(Workspace workspace, List<ModelReference> steps) {
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
