package org.baobabcart.router.traffic;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.baobabcart.model.result.BaobabcartException;
import org.baobabcart.model.result.ResultCode;
import org.baobabcart.model.sheet.Model;
import org.baobabcart.model.sheet.PublishedSheet;
import org.baobabcart.model.sheet.Sheet;
import org.baobabcart.model.sheet.Version;
import org.baobabcart.model.sheet.Workspace;
import org.baobabcart.policy.session.SessionSigner;
import org.baobabcart.policy.session.SessionToken;
import org.baobabcart.policy.version.ModelReference;
import org.baobabcart.policy.version.VersionPolicy;
import org.baobabcart.router.upstream.Pool;
import org.baobabcart.router.view.TrafficView;

/**
 * Selects the model versions for one request by its session, the sheet and the roll-outs. Confined to one event loop.
 */
final class VersionSelector {
    private final SessionSigner signer;
    private final boolean namedSession;
    private SessionToken session;

    private VersionSelector(SessionSigner signer, boolean namedSession, SessionToken session) {
        this.signer = signer;
        this.namedSession = namedSession;
        this.session = session;
    }

    /** Creates a selector from the session header; fails with {@code BAD_SESSION}. */
    static VersionSelector create(SessionSigner signer, Workspace workspace, Optional<String> header) {
        SessionToken newToken = SessionToken.create(workspace.name());
        if (header.isEmpty()) {
            return new VersionSelector(signer, false, newToken);
        }
        if (!SessionSigner.isToken(header.get())) {
            return new VersionSelector(signer, true, newToken);
        }
        SessionToken token = readToken(signer, header.get())
                .filter(verified -> verified.workspace().equals(workspace.name()))
                .orElseThrow(() -> BaobabcartException.of(ResultCode.BAD_SESSION));
        return new VersionSelector(signer, false, token);
    }

    /**
     * Verifies a session token. Without keys the token is accepted unverified; its workspace and the withdrawal of its
     * versions are still checked afterwards.
     */
    private static Optional<SessionToken> readToken(SessionSigner signer, String text) {
        return signer.hasKeys() ? signer.verify(text) : SessionSigner.readUnverified(text);
    }

    /** Selects the version for a requested model or model version. */
    SelectedVersion select(TrafficView view, Workspace workspace, ModelReference reference) {
        Sheet sheet = view.sheet()
                .orElseThrow(() -> BaobabcartException.of(ResultCode.NOT_READY))
                .sheet();
        Model model =
                sheet.model(reference.model()).orElseThrow(() -> BaobabcartException.of(ResultCode.UNKNOWN_MODEL));
        VersionPolicy policy = VersionPolicy.of(sheet, view.rollOuts());
        if (reference.version().isPresent()) {
            return requested(policy, model, workspace, reference.version().get());
        }
        Optional<String> sessionVersion = sessionVersion(policy, model, workspace);
        if (sessionVersion.isPresent()) {
            return selected(model, sessionVersion.get(), true);
        }
        return selected(model, drawVersion(view, policy, model, workspace), false);
    }

    /**
     * Selects another version with a share of new requests, for a request whose version has no reachable engine. Empty
     * if there is none, or if the request or its session requires the unreachable version.
     */
    Optional<SelectedVersion> alternativeTo(SelectedVersion unreachable, TrafficView view, Workspace workspace) {
        Optional<Sheet> sheet = view.sheet().map(PublishedSheet::sheet);
        Optional<Model> model = sheet.flatMap(published -> published.model(unreachable.model()));
        if (unreachable.fixed() || model.isEmpty()) {
            return Optional.empty();
        }
        return VersionPolicy.of(sheet.get(), view.rollOuts())
                .choose(
                        model.get(),
                        workspace,
                        version ->
                                !version.equals(unreachable.version()) && isServed(view, unreachable.model(), version),
                        ThreadLocalRandom.current().nextDouble())
                .map(version -> selected(model.get(), version, false));
    }

    /**
     * Selects another version for a request that was assigned to the new version of a roll-out, if that version has no
     * free slot. Overflow of the old version is not redirected, because it must not raise the new version's share.
     */
    Optional<SelectedVersion> alternativeToNew(SelectedVersion full, TrafficView view, Workspace workspace) {
        boolean isNew = view.sheet()
                .flatMap(published -> published.sheet().rollOut(full.model()))
                .filter(rollOut -> rollOut.to().equals(full.version()))
                .isPresent();
        return isNew ? alternativeTo(full, view, workspace) : Optional.empty();
    }

    /** Adds the version that responded to the session, and returns the session header for the caller. */
    Optional<String> sign(SelectedVersion version) {
        session = session.withVersion(version.model(), version.version());
        return signer.sign(session);
    }

    private Optional<String> sessionVersion(VersionPolicy policy, Model model, Workspace workspace) {
        if (namedSession) {
            return policy.versionForNamedSession(model, workspace);
        }
        return session.version(model.name()).filter(version -> policy.isUsable(model, workspace, version));
    }

    private static SelectedVersion requested(VersionPolicy policy, Model model, Workspace workspace, String version) {
        if (model.version(version).isEmpty()) {
            throw BaobabcartException.of(ResultCode.UNKNOWN_MODEL);
        }
        if (!workspace.allows(model.name(), version)) {
            throw BaobabcartException.of(ResultCode.MODEL_NOT_ALLOWED);
        }
        if (policy.isWithdrawn(model.name(), version)) {
            throw BaobabcartException.of(ResultCode.VERSION_WITHDRAWN);
        }
        return selected(model, version, true);
    }

    private static String drawVersion(TrafficView view, VersionPolicy policy, Model model, Workspace workspace) {
        boolean allowed = model.versions().stream().anyMatch(entry -> workspace.allows(model.name(), entry.name()));
        if (!allowed) {
            throw BaobabcartException.of(ResultCode.MODEL_NOT_ALLOWED);
        }
        if (policy.versionForNamedSession(model, workspace).isEmpty()) {
            throw BaobabcartException.of(ResultCode.VERSION_WITHDRAWN);
        }
        double uniform = ThreadLocalRandom.current().nextDouble();
        return policy.choose(model, workspace, version -> isServed(view, model.name(), version), uniform)
                .orElseThrow(() -> BaobabcartException.of(ResultCode.NO_UPSTREAM));
    }

    private static boolean isServed(TrafficView view, String model, String version) {
        Pool pool = Pool.ofModel(model, version);
        return view.upstreams().stream().anyMatch(pool::includes);
    }

    private static SelectedVersion selected(Model model, String version, boolean fixed) {
        double quality = model.version(version).map(Version::quality).orElse(0.0);
        return new SelectedVersion(model.name(), version, quality, fixed);
    }
}
