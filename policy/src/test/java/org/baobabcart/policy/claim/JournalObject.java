package org.baobabcart.policy.claim;

import java.util.Random;
import org.baobabcart.policy.claim.ClaimSimulation.Defect;

/** The stored object of one journal, with the platform's conditional update. */
final class JournalObject {
    private final Defect defect;
    private final Random random;
    private ClaimJournal journal = ClaimJournal.empty();
    private int version;

    JournalObject(Defect defect, Random random) {
        this.defect = defect;
        this.random = random;
    }

    ClaimJournal journal() {
        return journal;
    }

    String version() {
        return version == 0 ? "" : String.valueOf(version);
    }

    boolean update(JournalOwnerStep.Write write) {
        if (!write.resourceVersion().equals(version()) && defect != Defect.NO_VERSION_CHECK) {
            return false;
        }
        journal = write.journal();
        version++;
        if (defect == Defect.FORGETS_OPEN_CLAIMS && random.nextInt(10) == 0) {
            journal = ClaimJournal.empty();
        }
        return true;
    }
}
