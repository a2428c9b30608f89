package org.baobabcart.model.sheet;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;

/** Validates one sheet and collects all problems. Not thread-safe; create one validator for each sheet. */
final class SheetValidator {
    private static final double SHARE_TOLERANCE = 1e-6;
    private static final int SHA_256_HEX_LENGTH = 64;

    private final Sheet sheet;
    private final List<SheetProblem> problems = new ArrayList<>();

    private SheetValidator(Sheet sheet) {
        this.sheet = sheet;
    }

    static SheetValidator of(Sheet sheet) {
        return new SheetValidator(sheet);
    }

    List<SheetProblem> problems() {
        problems.clear();
        checkName("$.name", sheet.name());
        checkRanks();
        checkModels();
        checkCascades();
        checkServices();
        checkWorkspaces();
        checkRollOuts();
        checkWithdrawals();
        checkPlacements();
        return List.copyOf(problems);
    }

    private void checkRanks() {
        require(!sheet.ranks().isEmpty(), "$.ranks", "at least one rank is needed");
        checkUnique("$.ranks", sheet.ranks(), Rank::name);
        double floors = 0;
        for (int index = 0; index < sheet.ranks().size(); index++) {
            Rank rank = sheet.ranks().get(index);
            String path = "$.ranks[" + index + "]";
            checkName(path + ".name", rank.name());
            require(rank.targetMillis() > 0, path + ".targetMillis", "must be greater than 0");
            require(rank.worth() > 0, path + ".worth", "must be greater than 0");
            checkFraction(path + ".floor", rank.floor());
            floors += rank.floor();
        }
        require(floors <= 1 + SHARE_TOLERANCE, "$.ranks", "the floors add up to " + floors + ", more than 1");
        String defaultRank = sheet.defaultRank();
        boolean known = defaultRank != null && sheet.rank(defaultRank).isPresent();
        require(known, "$.defaultRank", "unknown rank: " + defaultRank);
    }

    private void checkModels() {
        checkUnique("$.models", sheet.models(), Model::name);
        for (int index = 0; index < sheet.models().size(); index++) {
            Model model = sheet.models().get(index);
            String path = "$.models[" + index + "]";
            checkName(path + ".name", model.name());
            require(!model.versions().isEmpty(), path + ".versions", "at least one version is needed");
            checkUnique(path + ".versions", model.versions(), Version::name);
            checkVersions(path, model.versions());
        }
    }

    private void checkVersions(String modelPath, List<Version> versions) {
        double shares = 0;
        for (int index = 0; index < versions.size(); index++) {
            Version version = versions.get(index);
            String path = modelPath + ".versions[" + index + "]";
            checkName(path + ".name", version.name());
            boolean sound = Double.isFinite(version.costPerThousandTokens()) && version.costPerThousandTokens() >= 0;
            require(sound, path + ".costPerThousandTokens", "must not be negative");
            checkFraction(path + ".quality", version.quality());
            checkFraction(path + ".share", version.share());
            shares += version.share();
        }
        boolean whole = versions.isEmpty() || Math.abs(shares - 1) <= SHARE_TOLERANCE;
        require(whole, modelPath + ".versions", "the shares add up to " + shares + ", not to 1");
    }

    private void checkCascades() {
        checkUnique("$.cascades", sheet.cascades(), Cascade::name);
        for (int index = 0; index < sheet.cascades().size(); index++) {
            Cascade cascade = sheet.cascades().get(index);
            String path = "$.cascades[" + index + "]";
            checkName(path + ".name", cascade.name());
            checkFraction(path + ".qualityTarget", cascade.qualityTarget());
            require(!cascade.steps().isEmpty(), path + ".steps", "at least one step is needed");
            boolean unambiguous = sheet.model(cascade.name()).isEmpty();
            require(unambiguous, path + ".name", "is also the name of a model: " + cascade.name());
            for (int step = 0; step < cascade.steps().size(); step++) {
                checkModelReference(
                        path + ".steps[" + step + "]", cascade.steps().get(step));
            }
        }
    }

    private void checkServices() {
        checkUnique("$.services", sheet.services(), Service::name);
        for (int index = 0; index < sheet.services().size(); index++) {
            Service service = sheet.services().get(index);
            String path = "$.services[" + index + "]";
            checkName(path + ".name", service.name());
            require(service.retentionSeconds() > 0, path + ".retentionSeconds", "must be greater than 0");
            for (int call = 0; call < service.calls().size(); call++) {
                checkCall(path + ".calls[" + call + "]", service.calls().get(call));
            }
        }
    }

    private void checkCall(String path, ServiceCall call) {
        boolean method = call.method() != null && call.method().matches("[A-Z]+");
        require(method, path + ".method", "must be an HTTP method in upper case");
        boolean callPath = call.path() != null && call.path().startsWith("/");
        require(callPath, path + ".path", "must begin with a slash");
        boolean consistent = !call.repeatable() || !call.keyRequired();
        require(consistent, path + ".keyRequired", "a repeatable call needs no key");
    }

    private void checkWorkspaces() {
        checkUnique("$.workspaces", sheet.workspaces(), Workspace::name);
        Set<String> hashes = new HashSet<>();
        for (int index = 0; index < sheet.workspaces().size(); index++) {
            Workspace workspace = sheet.workspaces().get(index);
            String path = "$.workspaces[" + index + "]";
            checkName(path + ".name", workspace.name());
            boolean weight = Double.isFinite(workspace.weight()) && workspace.weight() > 0;
            require(weight, path + ".weight", "must be greater than 0");
            checkKeyHashes(path, workspace.keyHashes(), hashes);
            checkAllowances(path, workspace);
        }
    }

    private void checkKeyHashes(String path, List<String> keyHashes, Set<String> knownHashes) {
        for (int index = 0; index < keyHashes.size(); index++) {
            String hash = keyHashes.get(index);
            String place = path + ".keyHashes[" + index + "]";
            boolean shape = hash.matches("[0-9a-f]{" + SHA_256_HEX_LENGTH + "}");
            require(shape, place, "must be a SHA-256 digest in lower-case hexadecimal");
            require(knownHashes.add(hash), place, "belongs to another workspace as well");
        }
    }

    private void checkAllowances(String path, Workspace workspace) {
        for (int index = 0; index < workspace.models().size(); index++) {
            String reference = workspace.models().get(index);
            if (sheet.cascade(reference).isEmpty()) {
                checkModelReference(path + ".models[" + index + "]", reference);
            }
        }
        for (int index = 0; index < workspace.services().size(); index++) {
            String service = workspace.services().get(index);
            boolean known = sheet.service(service).isPresent();
            require(known, path + ".services[" + index + "]", "unknown service: " + service);
        }
    }

    private void checkRollOuts() {
        checkUnique("$.rollOuts", sheet.rollOuts(), RollOut::model);
        for (int index = 0; index < sheet.rollOuts().size(); index++) {
            RollOut rollOut = sheet.rollOuts().get(index);
            String path = "$.rollOuts[" + index + "]";
            checkModelReference(path + ".from", rollOut.model() + "@" + rollOut.from());
            checkModelReference(path + ".to", rollOut.model() + "@" + rollOut.to());
            require(!rollOut.stages().isEmpty(), path + ".stages", "at least one stage is needed");
            checkStages(path, rollOut.stages());
        }
    }

    private void checkStages(String rollOutPath, List<RollOutStage> stages) {
        double last = 0;
        for (int index = 0; index < stages.size(); index++) {
            RollOutStage stage = stages.get(index);
            String path = rollOutPath + ".stages[" + index + "]";
            checkFraction(path + ".share", stage.share());
            require(stage.share() > last, path + ".share", "must be greater than the share before, " + last);
            require(stage.minimumSeconds() >= 0, path + ".minimumSeconds", "must not be negative");
            require(stage.minimumSamples() >= 0, path + ".minimumSamples", "must not be negative");
            last = stage.share();
        }
    }

    private void checkWithdrawals() {
        for (int index = 0; index < sheet.withdrawals().size(); index++) {
            Withdrawal withdrawal = sheet.withdrawals().get(index);
            checkModelReference("$.withdrawals[" + index + "]", withdrawal.model() + "@" + withdrawal.version());
        }
    }

    private void checkPlacements() {
        checkUnique("$.placements", sheet.placements(), Placement::key);
        for (int index = 0; index < sheet.placements().size(); index++) {
            Placement placement = sheet.placements().get(index);
            String path = "$.placements[" + index + "]";
            checkName(path + ".dataCentre", placement.dataCentre());
            checkModelReference(path + ".version", placement.model() + "@" + placement.version());
            require(placement.engines() >= 0, path + ".engines", "must not be negative: " + placement.engines());
        }
    }

    private void checkModelReference(String path, String reference) {
        int separator = reference.indexOf('@');
        String modelName = separator < 0 ? reference : reference.substring(0, separator);
        boolean known = sheet.model(modelName)
                .map(model -> separator < 0
                        || model.version(reference.substring(separator + 1)).isPresent())
                .orElse(false);
        require(known, path, "unknown model or version: " + reference);
    }

    private void checkName(String path, String name) {
        boolean sound = name != null && name.matches("[A-Za-z0-9][A-Za-z0-9._-]{0,62}");
        require(sound, path, "must be 1 to 63 letters, digits, dots, dashes or underscores: " + name);
    }

    private void checkFraction(String path, double value) {
        require(value >= 0 && value <= 1, path, "must be from 0 to 1: " + value);
    }

    private <T> void checkUnique(String path, List<T> values, Function<T, String> name) {
        Set<String> uniqueValues = new HashSet<>();
        for (int index = 0; index < values.size(); index++) {
            String value = name.apply(values.get(index));
            require(uniqueValues.add(value), path + "[" + index + "]", "is not unique: " + value);
        }
    }

    private void require(boolean condition, String path, String message) {
        if (!condition) {
            problems.add(new SheetProblem(path, message));
        }
    }
}
